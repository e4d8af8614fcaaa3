/** The HTTP stand-in of a model engine: runs the engine model in real time. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { request } from 'undici';
import type { EngineAssignment, EngineControlRequest, KvHandle } from '../src/contracts/engine-protocol.js';
import { describePrompt } from '../src/routing/completion-request.js';
import { hashText } from '../src/shared/rendezvous-hash.js';
import { EngineModel, formatToken, type EngineOutput } from './engine-model.js';
import { type EngineModelSettings } from './engine-model-settings.js';
import { readLabJson, sendLabJson } from './lab-http.js';
import { LabServer } from './lab-server.js';

interface WorkBody {
  attemptId: string;
  model: string;
  version: number;
  adapter: string;
  prompt: string;
  maximumTokens: number;
  priority: number;
  offset: number;
  kv?: KvHandle;
}

interface OpenStream {
  readonly response: ServerResponse;
  readonly promptHash: number;
}

/** One engine process. */
export class EngineServer extends LabServer {
  readonly model: EngineModel;
  private readonly open = new Map<string, OpenStream>();
  private timer: NodeJS.Timeout | undefined;

  constructor(host: string, port: number, assignment: EngineAssignment, settings: EngineModelSettings) {
    super(host, port);
    this.model = new EngineModel(settings, assignment);
    this.server.keepAliveTimeout = 60_000;
  }

  /** Closes at once, as a crash would. */
  override close(): void {
    clearTimeout(this.timer);
    super.close();
  }

  protected async onRequest(message: IncomingMessage, response: ServerResponse): Promise<void> {
    const path = message.url ?? '/';
    if (path.startsWith('/v1/kv/')) {
      const found = this.model.hasKv(decodeURIComponent(path.slice('/v1/kv/'.length)), performance.now());
      sendLabJson(response, found ? 200 : 404, {});
      return;
    }
    const body = await readLabJson(message);
    if (path === '/v1/control')
      sendLabJson(
        response,
        200,
        this.model.applyControlRequest(body as EngineControlRequest, performance.now()),
      );
    else if (path === '/v1/generate') await this.work('generate', body as WorkBody, response);
    else if (path === '/v1/prefill') await this.work('prefill', body as WorkBody, response);
    else sendLabJson(response, 404, {});
    this.schedule();
  }

  private async work(stage: 'prefill' | 'generate', body: WorkBody, response: ServerResponse): Promise<void> {
    const imported = stage === 'generate' && body.kv !== undefined;
    if (imported && body.kv && !(await fetchKv(body.kv))) {
      sendLabJson(response, 409, { refused: 'unknown-kv' });
      return;
    }
    const prompt = describePrompt(body.prompt);
    const { attemptId, model, version, adapter, maximumTokens, priority, offset } = body;
    const refusal = this.model.start(
      {
        attemptId,
        stage,
        model,
        version,
        adapter,
        promptTokens: prompt.tokens,
        prefixKey: prompt.prefixKey,
        maximumTokens,
        priority,
        offset,
        imported,
      },
      performance.now(),
    );
    if (refusal) {
      sendLabJson(response, 409, { refused: refusal });
      return;
    }
    this.open.set(attemptId, { response, promptHash: hashText(body.prompt) });
    response.writeHead(200, { 'content-type': 'application/x-ndjson' });
    response.flushHeaders();
    response.on('close', () => {
      if (this.open.delete(attemptId)) this.model.cancel(attemptId, performance.now());
    });
  }

  private schedule(): void {
    const at = this.model.getNextEventAt();
    clearTimeout(this.timer);
    if (at !== undefined) this.timer = setTimeout(() => this.run(), Math.max(0, at - performance.now()));
  }

  private run(): void {
    for (const output of this.model.advance(performance.now())) this.write(output);
    this.schedule();
  }

  private write(output: EngineOutput): void {
    const stream = this.open.get(output.attemptId);
    if (!stream) return;
    if (output.kind === 'tokens') {
      const texts = Array.from({ length: output.count }, (_, index) =>
        formatToken(stream.promptHash, output.offset + index),
      );
      stream.response.write(`${JSON.stringify({ offset: output.offset, texts })}\n`);
      return;
    }
    this.open.delete(output.attemptId);
    const last =
      output.kind === 'end'
        ? { end: true, tokens: output.tokens, finishReason: 'stop' }
        : { prefilled: output.handle };
    stream.response.end(`${JSON.stringify(last)}\n`);
  }
}

async function fetchKv(kv: KvHandle): Promise<boolean> {
  try {
    const { statusCode, body } = await request(
      `http://${kv.engineAddress}/v1/kv/${encodeURIComponent(kv.handle)}`,
    );
    await body.dump();
    return statusCode === 200;
  } catch {
    return false;
  }
}

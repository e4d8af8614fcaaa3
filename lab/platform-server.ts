/** The HTTP stand-in of the platform: table service, machine list, and a page to set faults. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Machine } from '../src/contracts/machine-list.js';
import type { TableRequest } from '../src/contracts/table-service.js';
import { PlatformModel, type PlatformFaults } from './platform-model.js';
import { readLabJson, sendLabJson } from './lab-http.js';
import { LabServer } from './lab-server.js';

/** One platform process. */
export class PlatformServer extends LabServer {
  readonly model = new PlatformModel();

  protected async onRequest(message: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readLabJson(message);
    const { faults } = this.model;
    if (message.url === '/faults') {
      Object.assign(faults, body as Partial<PlatformFaults>);
      sendLabJson(response, 200, faults);
    } else if (message.url === '/machine') {
      this.model.setMachine(body as Machine, performance.now());
      sendLabJson(response, 200, {});
    } else if (message.url === '/v1/table') {
      this.table(body as TableRequest, response);
    } else if (message.url === '/v1/machines') {
      const listing = this.model.listMachines((body as { cells: string[] }).cells, performance.now());
      if (listing) sendLabJson(response, 200, listing);
      else response.destroy();
    } else {
      sendLabJson(response, 404, {});
    }
  }

  private table(request: TableRequest, response: ServerResponse): void {
    const { faults } = this.model;
    const result = this.model.applyTableRequest(request, performance.now());
    const lost = Math.random() < faults.loseAnswers;
    if (!result || lost) {
      response.destroy();
      return;
    }
    const answer = (): void => {
      if (result.kind === 'rateLimited')
        sendLabJson(response, 429, {}, { 'retry-after-ms': String(result.retryAfterMs) });
      else sendLabJson(response, 200, result);
    };
    setTimeout(answer, faults.slowMs);
  }
}

/** Parses the bodies of completion calls, in the format of the OpenAI API. Owns no state. */
import * as z from 'zod';
import { ValidationError } from '../errors/index.js';

/** Maximum of output tokens that one call may request; keeps absurd numbers out of the load estimates. */
const MAXIMUM_OUTPUT_TOKENS = 100_000;
/** Output tokens where the call gives no `max_tokens`. */
const DEFAULT_OUTPUT_TOKENS = 256;
/** Service names are DNS labels. Characters. */
const MAXIMUM_NAME_LENGTH = 63;

const common = {
  /** The service's name. */
  model: z.string().min(1).max(MAXIMUM_NAME_LENGTH),
  max_tokens: z.number().int().min(1).max(MAXIMUM_OUTPUT_TOKENS).default(DEFAULT_OUTPUT_TOKENS),
  stream: z.boolean().default(false),
};

const completionSchema = z.object({ ...common, prompt: z.string().min(1) });
const messageSchema = z.object({ role: z.enum(['system', 'user', 'assistant']), content: z.string() });
const chatSchema = z.object({ ...common, messages: z.array(messageSchema).min(1) });

/** The validated fields of a completion call that the gateway uses. */
export interface CompletionBody {
  readonly service: string;
  readonly prompt: string;
  readonly maximumTokens: number;
  readonly stream: boolean;
}

/**
 * Parses the body of `/v1/completions`.
 * @throws ValidationError naming the first invalid field.
 */
export function parseCompletionBody(value: unknown): CompletionBody {
  const body = checkBody(completionSchema, value);
  return { service: body.model, prompt: body.prompt, maximumTokens: body.max_tokens, stream: body.stream };
}

/**
 * Parses the body of `/v1/chat/completions`; its messages are joined into one prompt.
 * @throws ValidationError naming the first invalid field.
 */
export function parseChatBody(value: unknown): CompletionBody {
  const body = checkBody(chatSchema, value);
  const prompt = body.messages.map((message) => `${message.role}: ${message.content}`).join('\n');
  return { service: body.model, prompt, maximumTokens: body.max_tokens, stream: body.stream };
}

function checkBody<Output>(schema: z.ZodType<Output>, value: unknown): Output {
  const result = schema.safeParse(value);
  if (result.success) return result.data;
  const issue = result.error.issues[0];
  throw new ValidationError(issue.path.join('.') || 'body', issue.message);
}

/** The bodies of completion calls, in the common OpenAI form. */
import * as z from 'zod';
import { ValidationError } from '../errors/index.js';

/** Tokens that one call may ask for at most; it keeps absurd numbers out of the estimates. */
const MAXIMUM_OUTPUT_TOKENS = 100_000;
/** Tokens where the call does not say. */
const DEFAULT_OUTPUT_TOKENS = 256;
/** Names of services are labels of DNS. Characters. */
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

/** What the gateway needs of a completion call. */
export interface CompletionBody {
  readonly service: string;
  readonly prompt: string;
  readonly maximumTokens: number;
  readonly stream: boolean;
}

/**
 * Reads the body of `/v1/completions`.
 * @throws ValidationError naming the field.
 */
export function parseCompletionBody(value: unknown): CompletionBody {
  const body = check(completionSchema, value);
  return { service: body.model, prompt: body.prompt, maximumTokens: body.max_tokens, stream: body.stream };
}

/**
 * Reads the body of `/v1/chat/completions`.
 * @throws ValidationError naming the field.
 */
export function parseChatBody(value: unknown): CompletionBody {
  const body = check(chatSchema, value);
  const prompt = body.messages.map((message) => `${message.role}: ${message.content}`).join('\n');
  return { service: body.model, prompt, maximumTokens: body.max_tokens, stream: body.stream };
}

function check<Output>(schema: z.ZodType<Output>, value: unknown): Output {
  const result = schema.safeParse(value);
  if (result.success) return result.data;
  const issue = result.error.issues[0];
  throw new ValidationError(issue.path.join('.') || 'body', issue.message);
}

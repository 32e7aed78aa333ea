import { answerText, sendRequest } from '@marjorampin/http';
import { Err, Ok, type Result } from '@marjorampin/types';
import type { Dispatcher } from 'undici';
import type * as z from 'zod';
import { StoreError } from './keyValueStore';

/** Limit of a response; it may hold several values of 1 MB. */
const MAXIMUM_RESPONSE_BYTES = 32 * 1024 * 1024;

/** An HTTP request to a store. */
export interface StoreRequest {
  /** Scheme, host and port, for example `http://127.0.0.1:7300`. */
  origin: string;
  method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  /** Path and query. */
  path: string;
  body?: unknown;
  dispatcher: Dispatcher;
  signal: AbortSignal;
}

/** A store's response; `body` is the parsed JSON, or undefined when the response has no body. */
export interface StoreResponse {
  status: number;
  body: unknown;
}

/** Sends a JSON request and parses the response; rejects on a network error, abort or invalid JSON. */
export async function exchangeJson(options: StoreRequest): Promise<StoreResponse> {
  const { origin, path, method, body, dispatcher, signal } = options;
  const response = await sendRequest(`${origin}${path}`, {
    method,
    dispatcher,
    headers: { 'content-type': 'application/json' },
    body: body === undefined ? null : JSON.stringify(body),
    signal,
  });
  const text = await answerText(response, MAXIMUM_RESPONSE_BYTES);
  return { status: response.statusCode, body: text === '' ? undefined : JSON.parse(text) };
}

/** Decodes the body of a successful response; an unusable one counts as no response. */
export function decodeResponse<Schema extends z.ZodType>(
  request: Pick<StoreRequest, 'origin' | 'method'>,
  { status, body }: StoreResponse,
  schema: Schema,
): Result<z.infer<Schema>, StoreError> {
  const parsed = schema.safeParse(body);
  if (status === 200 && parsed.success) return Ok(parsed.data);
  if (status >= 400 && status < 500) return Err(refusedError(request.origin, status));
  return Err(unansweredError(request, `status ${status} with an unexpected body`));
}

/** Creates the error of a request that failed without a usable response. A write may have taken
 * effect or may still do so, so its error is `ambiguous`. */
export function unansweredError(
  { origin, method }: Pick<StoreRequest, 'origin' | 'method'>,
  error: unknown,
): StoreError {
  const reason = error instanceof Error ? error.message : String(error);
  const kind = method === 'GET' ? 'unavailable' : 'ambiguous';
  const message = `a request to the store at ${origin} failed: ${reason}; check the platform`;
  return new StoreError({ kind, message });
}

/** Creates the error of a request that the store rejected without executing it. */
export function refusedError(origin: string, status: number): StoreError {
  const message = `the store at ${origin} rejected the request with status ${status}; retry later`;
  return new StoreError({ kind: 'unavailable', message });
}

import { type Dispatcher, request } from 'undici';
import { StoreError } from './keyValueStore';

/** One request to a store over HTTP. */
export interface StoreRequest {
  /** For example `http://127.0.0.1:7300`. */
  origin: string;
  method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  /** Path and query. */
  path: string;
  body?: unknown;
  dispatcher: Dispatcher;
  signal: AbortSignal;
}

/** A store's answer; the body is undefined when it is empty. */
export interface StoreAnswer {
  status: number;
  body: unknown;
}

/** Sends a request with a body of JSON and reads such an answer; rejects when there is none. */
export async function exchangeJson(options: StoreRequest): Promise<StoreAnswer> {
  const { origin, path, method, body, dispatcher, signal } = options;
  const response = await request(`${origin}${path}`, {
    method,
    dispatcher,
    headers: { 'content-type': 'application/json' },
    body: body === undefined ? null : JSON.stringify(body),
    signal,
  });
  const text = await response.body.text();
  return { status: response.statusCode, body: text === '' ? undefined : JSON.parse(text) };
}

/** Makes the error of a request without an answer: a write may have taken effect, or still will. */
export function unansweredError(
  { origin, method }: Pick<StoreRequest, 'origin' | 'method'>,
  error: unknown,
): StoreError {
  const reason = error instanceof Error ? error.message : String(error);
  const kind = method === 'GET' ? 'unavailable' : 'ambiguous';
  const message = `the store at ${origin} did not answer: ${reason}; check the platform`;
  return new StoreError({ kind, message });
}

/** Makes the error of a request that the store refused and did not carry out. */
export function refusedError(origin: string, status: number): StoreError {
  const message = `the store at ${origin} refused the request with ${status}; retry later`;
  return new StoreError({ kind: 'unavailable', message });
}

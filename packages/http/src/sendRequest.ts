import { type Dispatcher, request } from 'undici';
import { MAXIMUM_INTERIM_ANSWERS } from './limits';

/** An HTTP request; its `signal` also limits the time of the answer's body. */
export interface HttpRequest {
  method: Dispatcher.HttpMethod;
  dispatcher: Dispatcher;
  headers: Record<string, string>;
  /** Null for a request without a body. */
  body: string | null;
  signal: AbortSignal;
}

/** Sends a request; rejects when the server sends interim answers without end. */
export async function sendRequest(
  url: string,
  { signal, ...options }: HttpRequest,
): Promise<Dispatcher.ResponseData> {
  const surplus = new AbortController();
  let interimAnswers = 0;
  return request(url, {
    ...options,
    signal: AbortSignal.any([signal, surplus.signal]),
    onInfo: () => {
      interimAnswers += 1;
      if (interimAnswers <= MAXIMUM_INTERIM_ANSWERS) return;
      surplus.abort(new Error(`more than ${MAXIMUM_INTERIM_ANSWERS} interim answers`));
    },
  });
}

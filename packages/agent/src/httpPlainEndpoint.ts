import { answerText, isFramed, MAXIMUM_ANSWER_BYTES, sendRequest } from '@marjorampin/http';
import { CallError } from '@marjorampin/types';
import { createDispatcher } from './endpointConnections';
import { PlainEndpoint, type PlainOutcome, type PlainRequest } from './plainEndpoint';

/** Error codes of failed connections, after which the request can't have reached the service. */
const CONNECTION_FAILURE_CODES = [
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
];

/** Calls a plain service over HTTP. */
export class HttpPlainEndpoint extends PlainEndpoint {
  private readonly url: string;

  private readonly dispatcher = createDispatcher();

  constructor({ url }: { url: string }) {
    super();
    this.url = url.replace(/\/$/, '');
  }

  override async execute(call: PlainRequest, signal: AbortSignal): Promise<PlainOutcome> {
    try {
      const response = await sendRequest(
        `${this.url}/operations/${encodeURIComponent(call.operation)}`,
        {
          method: 'POST',
          dispatcher: this.dispatcher,
          headers: { 'content-type': 'application/json', 'idempotency-key': call.key },
          body: call.body,
          signal,
        },
      );
      const body = await answerText(response, MAXIMUM_ANSWER_BYTES);
      if (!isFramed(response)) throw unframed();
      return { status: response.statusCode, body };
    } catch (error) {
      throw this.failure(error);
    }
  }

  private failure(error: unknown): CallError {
    const { code = '', message: reason = '' } = error as { code?: string; message?: string };
    const execution = CONNECTION_FAILURE_CODES.includes(code) ? 'not-run' : 'unknown';
    const message = `service at ${this.url} failed: ${reason || code}; check the service`;
    return new CallError({ kind: 'endpoint-failed', message, execution, retryAfterMs: 1_000 });
  }
}

/** An interrupted answer of this kind looks complete, so none is taken as an outcome. */
function unframed(): Error {
  return new Error('its answer has neither a length nor chunks; let it send Content-Length');
}

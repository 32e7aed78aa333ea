import type { IncomingHttpHeaders } from 'node:http';

/** What marks the end of an answer's body; `close`: only the end of the connection. */
export type AnswerFraming = 'length' | 'chunked' | 'close';

/** Returns the framing of a body by the headers of its answer. */
export function framingOf(headers: IncomingHttpHeaders): AnswerFraming {
  if (/\bchunked$/i.test(headers['transfer-encoding'] ?? '')) return 'chunked';
  return headers['content-length'] === undefined ? 'close' : 'length';
}

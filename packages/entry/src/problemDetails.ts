import { CallError, type CallErrorKind, type Execution } from '@marjorampin/types';

/** Body of an error response, as defined by RFC 9457. */
export interface ProblemDetails {
  type: string;
  title: CallErrorKind;
  status: number;
  detail: string;
  /** Whether the call's action was executed. */
  execution: Execution;
  retryAfterMs: number;
}

const MEDIA_TYPE = 'application/problem+json';

/** Converts an error to the problem details that a caller receives. */
export function problemOf(error: CallError): ProblemDetails {
  const { kind, status, message, execution, retryAfterMs } = error;
  const type = `urn:marjorampin:problem:${kind}`;
  return { type, title: kind, status, detail: message, execution, retryAfterMs };
}

/** Creates the HTTP response for an error, with `retry-after` rounded up to whole seconds. */
export function problemResponse(error: CallError): Response {
  const headers: Record<string, string> = { 'content-type': MEDIA_TYPE };
  if (error.retryAfterMs > 0) {
    headers['retry-after'] = String(Math.ceil(error.retryAfterMs / 1_000));
  }
  return new Response(JSON.stringify(problemOf(error)), { status: error.status, headers });
}

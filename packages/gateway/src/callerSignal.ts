import type http from 'node:http';

/** Tells when nobody waits for an answer any more. */
export interface CallerTracking {
  signal: AbortSignal;
  /** The deadline passed, rather than the caller leaving. */
  readonly isExpired: boolean;
  /** Stops watching. */
  release(): void;
}

/** Aborts a signal when the caller's connection closes or its patience ends. */
export function trackCaller(response: http.ServerResponse, timeoutMs: number): CallerTracking {
  const controller = new AbortController();
  let isExpired = false;
  const onClose = () => {
    if (!response.writableFinished) controller.abort();
  };
  const timer = setTimeout(() => {
    isExpired = true;
    controller.abort();
  }, timeoutMs);
  response.on('close', onClose);
  return {
    signal: controller.signal,
    get isExpired() {
      return isExpired;
    },
    release() {
      clearTimeout(timer);
      response.off('close', onClose);
    },
  };
}

import type http from 'node:http';

/** Tracks whether a caller still waits for its answer. */
export interface CallerTracking {
  /** Aborts when the caller disconnects or the timeout ends. */
  signal: AbortSignal;
  /** Whether the timeout has ended. */
  readonly isExpired: boolean;
  /** Stops tracking. */
  release(): void;
}

/** Tracks a caller until its connection closes or the timeout ends. */
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

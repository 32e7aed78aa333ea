/** Abort signal that is created only when it is used, as most calls end before anyone listens. */
export class LazyAbort {
  private controller: AbortController | undefined;

  private isAborted = false;

  /** Signal that is aborted by `abort`, also by an earlier one. */
  get signal(): AbortSignal {
    this.controller ??= new AbortController();
    if (this.isAborted) this.controller.abort();
    return this.controller.signal;
  }

  /** Aborts the signal. */
  abort(): void {
    this.isAborted = true;
    this.controller?.abort();
  }
}

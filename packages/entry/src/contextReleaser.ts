import type { EndpointClient } from './endpointDispatcher';
import type { Program } from './program';

const RELEASE_TIMEOUT_MS = 2_000;

/** Requests endpoints to release the cached context of programs. */
export class ContextReleaser {
  private readonly endpoints: EndpointClient;

  constructor({ endpoints }: { endpoints: EndpointClient }) {
    this.endpoints = endpoints;
  }

  /** Sends a release request to every endpoint that may cache context of the program. */
  releaseAll(program: Program): void {
    program.drainVisited().forEach((endpoint) => this.releaseAt(program, endpoint));
  }

  /** Sends a release request to one endpoint. */
  async releaseAt(program: Program, endpointId: string): Promise<void> {
    const endpoint = this.endpoints.get(endpointId);
    if (!endpoint) return;
    const fenceToken = { partition: program.partition, epoch: program.epoch };
    const value = { fence: fenceToken, program: program.id };
    const options = { progressTimeoutMs: RELEASE_TIMEOUT_MS };
    // If the request is lost or times out, the agent's sweep of idle programs releases the context.
    await this.endpoints
      .send(endpoint, { case: 'releaseContext', value }, options)
      .catch(() => undefined);
  }
}

/** Frees the memory that engines hold for programs. */
import type { Endpoints } from './endpointDispatcher';
import type { Program } from './program';

/** A release without an answer for this long is left to the agent's sweep. */
const RELEASE_TIMEOUT_MS = 2_000;

/** Asks endpoints to free the memory that they hold for a program. */
export class ContextReleaser {
  private readonly endpoints: Endpoints;

  constructor({ endpoints }: { endpoints: Endpoints }) {
    this.endpoints = endpoints;
  }

  /** Asks every endpoint that the program visited to free its memory. */
  releaseAll(program: Program): void {
    program.takeVisited().forEach((endpoint) => this.releaseAt(program, endpoint));
  }

  /** Asks one endpoint. */
  async releaseAt(program: Program, endpointId: string): Promise<void> {
    const endpoint = this.endpoints.get(endpointId);
    if (!endpoint) return;
    const fence = { partition: program.partition, epoch: program.epoch };
    const value = { fence, program: program.id };
    const options = { progressTimeoutMs: RELEASE_TIMEOUT_MS };
    // What a lost request leaves behind, the agent's sweep of idle programs finds.
    await this.endpoints
      .send(endpoint, { case: 'releaseContext', value }, options)
      .catch(() => undefined);
  }
}

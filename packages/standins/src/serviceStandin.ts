import { setTimeout as delay } from 'node:timers/promises';
import { type H3, type H3Event, readBody } from 'h3';
import { RoutedStandin } from './httpStandin';

const HANG_MS = 3_600_000;

/** Switches for a service's failures. */
export interface ServiceFaults {
  delayMs: number;
  /** Executes and then never answers. */
  hang: boolean;
  /** Executes and answers with an error status. */
  failAfter: boolean;
}

/** A plain service that counts executions per key, so that a repeated one shows. */
export class ServiceStandin extends RoutedStandin {
  readonly faults: ServiceFaults = { delayMs: 0, hang: false, failAfter: false };

  readonly executions = new Map<string, number>();

  protected override addRoutes(app: H3): void {
    app.post('/operations/:operation', (event) => this.execute(event));
    app.get('/executions', () => Object.fromEntries(this.executions));
    app.get('/load', () => ({ running: 0, queued: 0, cachedTokens: 0 }));
    app.post('/faults', async (event) =>
      Object.assign(this.faults, await readBody<Partial<ServiceFaults>>(event)),
    );
  }

  private async execute(event: H3Event) {
    const key = event.req.headers.get('idempotency-key') ?? '';
    const body = await readBody<Record<string, unknown>>(event);
    const operation = event.context.params?.operation ?? '';
    const count = (this.executions.get(key) ?? 0) + 1;
    this.executions.set(key, count);
    if (this.faults.hang) await delay(HANG_MS, undefined, { ref: false });
    if (this.faults.delayMs > 0) await delay(this.faults.delayMs);
    if (this.faults.failAfter) return new Response('failed after execution', { status: 500 });
    return { operation, reference: `${operation}-${key}`, input: body ?? null };
  }
}

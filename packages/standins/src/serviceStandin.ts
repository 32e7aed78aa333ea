import { setTimeout as delay } from 'node:timers/promises';
import { type H3, type H3Event, readBody } from 'h3';
import { RoutedStandin } from './httpStandin';

const HANG_MS = 3_600_000;

/** Faults that can be injected into a service. */
export interface ServiceFaults {
  /** Delay between the execution of a call and its response. */
  delayMs: number;
  /** Calls are executed but never answered. */
  hang: boolean;
  /** Calls are executed and then answered with status 500. */
  failAfter: boolean;
}

/** Stand-in for a plain service; counts executions per key, so that tests find repeated ones. */
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

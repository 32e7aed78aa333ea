/** Time in which an entry may end a connection on which a request has arrived that it never read. */
const LOSS_SLACK_MS = 200;

/** Difference between the timers of entries and callers. */
const TIMER_SLACK_MS = 100;

/** How a request ended for its caller. */
export interface RequestEnd {
  /** Status of the answer; `broken` when it is incomplete or missing. */
  status: number | 'broken';
  /** Milliseconds since the whole request was sent; undefined if it was not. */
  sinceSentMs?: number | undefined;
}

/** Records what callers and endpoints observe and reports violated guarantees. */
export class SoakRecord {
  /** Time by which an entry has to answer; set if nothing but planned work happens, so that each request
   * that has been read needs a whole answer. */
  private readonly answerTimeoutMs: number | undefined;

  /** Violated guarantees in the order of their detection. */
  readonly violations: string[] = [];

  /** Number of requests by the status that the caller received. */
  readonly outcomes = new Map<string, number>();

  private readonly executions = new Map<string, number>();

  private readonly sent = new Map<string, { kind: string; body: string }>();

  /** Requests whose refusal guarantees that they are never executed. */
  private readonly refused = new Set<string>();

  /** Tokens delivered to callers, by program. */
  private readonly tokens = new Map<string, number>();

  constructor({ answerTimeoutMs }: { answerTimeoutMs?: number } = {}) {
    this.answerTimeoutMs = answerTimeoutMs;
  }

  /** Records a request before it is sent, with the body that the endpoint has to receive. */
  recordRequest(id: string, kind: string, body: string): void {
    this.sent.set(id, { kind, body });
  }

  /** Records that an endpoint begins to execute a request. */
  recordExecution(id: string, method: string, body: string): void {
    const expected = this.sent.get(id);
    const runs = (this.executions.get(id) ?? 0) + 1;
    this.executions.set(id, runs);
    if (!expected) this.report(`UNASKED: ${method} ${id} was never sent`);
    else if (expected.body !== body) this.report(`UNASKED: ${id} has another body: ${body}`);
    if (runs > 1 && expected?.kind !== 'idempotent') this.report(`TWICE: ${id} ran ${runs} times`);
    if (this.refused.has(id)) this.report(`REFUSED: ${id} ran after its refusal`);
  }

  /** Records how a request ended for its caller. */
  recordOutcome(id: string, { status, sinceSentMs = 0 }: RequestEnd): void {
    if (status === 'broken') this.checkLoss(id, sinceSentMs);
    this.outcomes.set(String(status), (this.outcomes.get(String(status)) ?? 0) + 1);
    const isRefusal = status === 429 || status === 503 || status === 402;
    if (!isRefusal || this.sent.get(id)?.kind === 'idempotent') return;
    this.refused.add(id);
    if (this.executions.has(id)) this.report(`REFUSED: ${id} was answered ${status} and had run`);
  }

  private checkLoss(id: string, sinceSentMs: number): void {
    if (
      this.answerTimeoutMs === undefined ||
      sinceSentMs >= this.answerTimeoutMs - TIMER_SLACK_MS
    ) {
      return;
    }
    const hasRun = this.executions.has(id);
    if (!hasRun && sinceSentMs <= LOSS_SLACK_MS) return;
    const progress = hasRun ? 'had been passed on' : 'had been read';
    const at = new Date().toISOString();
    this.report(
      `LOST: ${id} ${progress} and got no answer for ${Math.round(sinceSentMs)} ms (${at})`,
    );
  }

  /** Records tokens that were delivered to a caller, with the limit of their program. */
  recordTokens(program: string, tokens: number, limit: number): void {
    const total = (this.tokens.get(program) ?? 0) + tokens;
    this.tokens.set(program, total);
    if (total > limit) this.report(`BUDGET: program ${program} got ${total} of ${limit} tokens`);
  }

  /** Records a violated guarantee. */
  report(text: string): void {
    this.violations.push(text);
  }
}

/** Records what callers and endpoints observe and reports violated guarantees. */
export class SoakRecord {
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

  /** Records the status that the caller received; `broken` when the response is incomplete. */
  recordOutcome(id: string, status: number | 'broken'): void {
    this.outcomes.set(String(status), (this.outcomes.get(String(status)) ?? 0) + 1);
    const isRefusal = status === 429 || status === 503 || status === 402;
    if (!isRefusal || this.sent.get(id)?.kind === 'idempotent') return;
    this.refused.add(id);
    if (this.executions.has(id)) this.report(`REFUSED: ${id} was answered ${status} and had run`);
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

import type { Clock } from '@marjorampin/types';

/** Time after which the keepers are asked again. They retain a program for as long after its last
 * request as after its last turn, up to this time. */
const MAXIMUM_AGE_MS = 5_000;
/** Maximum number of programs that are remembered. */
const MAXIMUM_PROGRAMS = 10_000;

interface SettledUsage {
  tokens: number;
  validUntilMs: number;
}

/**
 * Tokens that programs are known to have used for good. Answers the load of programs that loop
 * without end: once the settled tokens leave too little of a budget, further turns are refused
 * without asking the keepers again.
 */
export class ExhaustedBudgets {
  private readonly clock: Clock;

  private readonly usages = new Map<string, SettledUsage>();

  constructor({ clock }: { clock: Clock }) {
    this.clock = clock;
  }

  /** Records the settled tokens of a program, as the keepers have just reported them. */
  record(program: string, tokens: number): void {
    this.usages.delete(program);
    this.usages.set(program, { tokens, validUntilMs: this.clock.now() + MAXIMUM_AGE_MS });
    if (this.usages.size <= MAXIMUM_PROGRAMS) return;
    const [oldest] = this.usages.keys();
    if (oldest !== undefined) this.usages.delete(oldest);
  }

  /** Returns the settled tokens of a program that are known to count; 0 if none are known. */
  settledTokens(program: string): number {
    const usage = this.usages.get(program);
    if (!usage || usage.validUntilMs <= this.clock.now()) return 0;
    return usage.tokens;
  }
}

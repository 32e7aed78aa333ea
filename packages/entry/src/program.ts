import { type Continuation, EMPTY_DIGEST } from '@marjorampin/history';
import type { Segment } from '@marjorampin/types';
import type { BudgetAccount } from './budgetAccount';

/** Maximum number of endpoints with context of one program; the continuation lists them all. */
const MAXIMUM_VISITED_ENDPOINTS = 4;

/** Maximum number of requests whose interrupted runs are counted; a program runs one at a time. */
const MAXIMUM_INTERRUPTED_REQUESTS = 64;

/** Options of `Program`. */
export interface ProgramOptions {
  id: string;
  customer: string;
  /** Id of the parent program; empty when there is none. */
  parent: string;
  partition: number;
  epoch: number;
  budget: BudgetAccount;
  segments?: Segment[];
  /** Ids of the entries that store the history. */
  holders?: string[];
  /** Wall-clock time at which the program expires. */
  expiresMs: number;
  /** Endpoint where the context is cached; empty when there is none. */
  warmEndpoint?: string;
}

/** State of a program in the memory of its owner. */
export class Program {
  readonly id: string;

  readonly customer: string;

  readonly parent: string;

  readonly partition: number;

  readonly epoch: number;

  readonly budget: BudgetAccount;

  readonly segments: Segment[];

  holders: string[];

  expiresMs: number;

  warmEndpoint: string;

  /** Endpoints that may cache context of the program, most recent last. */
  private visited: string[] = [];

  /** Number of runs that ended with the loss of their endpoint, by request id. */
  private readonly interruptedRuns = new Map<string, number>();

  /** Turn at which the program was recovered without a handover; -1 otherwise. */
  recoveredAtTurn = -1;

  /** Ledger keys of calls that were sent and whose outcome is unknown to this owner. */
  readonly unresolvedCalls = new Set<string>();

  /** Peer address of the program's new owner, for a call that still runs here. */
  newOwnerAddress: string | undefined;

  /** Whether the new owner has acknowledged the end of the call that ran here. */
  isCallEndReported = false;

  private queueTail: Promise<unknown> = Promise.resolve();

  private readonly running = new Map<string, Promise<string>>();

  constructor(options: ProgramOptions) {
    this.id = options.id;
    this.customer = options.customer;
    this.parent = options.parent;
    this.partition = options.partition;
    this.epoch = options.epoch;
    this.budget = options.budget;
    this.segments = options.segments ?? [];
    this.holders = options.holders ?? [];
    this.expiresMs = options.expiresMs;
    this.warmEndpoint = options.warmEndpoint ?? '';
  }

  /** Returns how many runs of a request ended with the loss of their endpoint. */
  interruptedRunsOf(request: string): number {
    return this.interruptedRuns.get(request) ?? 0;
  }

  /** Records that a run of a request ended with the loss of its endpoint. */
  recordInterruptedRun(request: string): void {
    const runs = this.interruptedRunsOf(request) + 1;
    this.interruptedRuns.delete(request);
    this.interruptedRuns.set(request, runs);
    const [oldest] = this.interruptedRuns.keys();
    const isFull = this.interruptedRuns.size > MAXIMUM_INTERRUPTED_REQUESTS;
    if (isFull && oldest !== undefined) this.interruptedRuns.delete(oldest);
  }

  get visitedEndpoints(): readonly string[] {
    return this.visited;
  }

  get turn(): number {
    return this.segments.length;
  }

  get digest(): string {
    return this.segments.at(-1)?.digest ?? EMPTY_DIGEST;
  }

  get isEnded(): boolean {
    return this.segments.at(-1)?.kind === 'end';
  }

  get isRunning(): boolean {
    return this.running.size > 0;
  }

  /** Records that an endpoint may cache context; returns the endpoint dropped for it, if any. */
  recordVisit(endpoint: string): string | undefined {
    this.visited = [...this.visited.filter((known) => known !== endpoint), endpoint];
    return this.visited.length > MAXIMUM_VISITED_ENDPOINTS ? this.visited.shift() : undefined;
  }

  /** Empties the list of endpoints that may cache context, and returns them. */
  drainVisited(): string[] {
    const taken = this.visited;
    this.visited = [];
    return taken;
  }

  /** Adds a turn; `holders` are the entries that store it. */
  append(segment: Segment, holders: string[]): void {
    this.segments.push(segment);
    this.holders = holders;
  }

  /** Runs calls one at a time; a call with the digest of a pending one shares its result. */
  enqueue(requestDigest: string, run: () => Promise<string>): Promise<string> {
    const known = this.running.get(requestDigest);
    if (known) return known;
    const result = this.queueTail.then(run).finally(() => this.running.delete(requestDigest));
    this.running.set(requestDigest, result);
    this.queueTail = result.catch(() => undefined);
    return result;
  }

  /** Resolves when no call is running or waiting. */
  async whenIdle(): Promise<void> {
    while (this.isRunning) await this.queueTail;
  }

  /** Returns the continuation for the call that follows a turn. */
  continuationAt(turn: number): Continuation {
    const segment = this.segments[turn - 1];
    return {
      program: this.id,
      customer: this.customer,
      parent: this.parent,
      turn,
      digest: segment?.digest ?? EMPTY_DIGEST,
      granted: this.budget.granted,
      spent: segment?.spent ?? 0,
      epoch: this.epoch,
      holders: this.holders,
      endpoints: this.visited,
      expiresMs: this.expiresMs,
    };
  }
}

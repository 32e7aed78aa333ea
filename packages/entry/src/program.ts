import { type Continuation, EMPTY_DIGEST } from '@marjorampin/history';
import type { Segment } from '@marjorampin/types';
import type { BudgetAccount } from './budgetAccount';

/** Endpoints that hold context of one program; the continuation names them all. */
const MAXIMUM_VISITED_ENDPOINTS = 4;

/** What a program starts from. */
export interface ProgramOptions {
  id: string;
  customer: string;
  parent: string;
  partition: number;
  epoch: number;
  budget: BudgetAccount;
  segments?: Segment[];
  holders?: string[];
  expiresMs: number;
  warmEndpoint?: string;
}

/** A program in the memory of its owner. */
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

  /** Endpoints that may hold context of the program, the latest one last. */
  private visited: string[] = [];

  /** Turn at which the program was taken over without its former owner's word; else -1. */
  recoveredAtTurn = -1;

  /** Calls that were sent and whose outcome this owner does not know. */
  readonly unresolvedCalls = new Set<string>();

  /** Address of the entry that took the program over while a call was running here. */
  departedTo: string | undefined;

  /** The new owner was told how the call ended that ran here. */
  isDepartureReported = false;

  private tail: Promise<unknown> = Promise.resolve();

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

  /** Notes that an endpoint may hold context; returns the one that is given up for it, if any. */
  visit(endpoint: string): string | undefined {
    this.visited = [...this.visited.filter((known) => known !== endpoint), endpoint];
    return this.visited.length > MAXIMUM_VISITED_ENDPOINTS ? this.visited.shift() : undefined;
  }

  /** Forgets the endpoints once they were asked to release their context. */
  takeVisited(): string[] {
    const taken = this.visited;
    this.visited = [];
    return taken;
  }

  /** Adds a turn that its holders keep. */
  append(segment: Segment, holders: string[]): void {
    this.segments.push(segment);
    this.holders = holders;
  }

  /** Runs calls one after the other; a call with the same identity joins the running one. */
  enqueue(identity: string, run: () => Promise<string>): Promise<string> {
    const known = this.running.get(identity);
    if (known) return known;
    const result = this.tail.then(run).finally(() => this.running.delete(identity));
    this.running.set(identity, result);
    this.tail = result.catch(() => undefined);
    return result;
  }

  /** Resolves when no call is running or waiting. */
  async whenIdle(): Promise<void> {
    while (this.isRunning) await this.tail;
  }

  /** Returns what a caller carries on from after a turn. */
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

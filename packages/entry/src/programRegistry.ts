import type { Continuation } from '@marjorampin/history';
import type { EventLog } from '@marjorampin/logging';
import { CallError, parseProgramId, type Segment } from '@marjorampin/types';
import { BudgetAccount, budgetKey } from './budgetAccount';
import type { HandedOverPrograms } from './handedOverPrograms';
import type { HistoryReplicator } from './historyReplicator';
import type { LedgerClient } from './ledgerClient';
import type { ProgramSnapshot } from './messages';
import { Program } from './program';

/** Options of `ProgramRegistry`. */
export interface ProgramRegistryOptions {
  history: HistoryReplicator;
  ledger: LedgerClient;
  handedOverPrograms: HandedOverPrograms;
  log: EventLog;
}

/** Properties of a new program. */
export interface NewProgram {
  id: string;
  /** Id of the parent program; empty when there is none. */
  parent: string;
  /** Token budget of the program. */
  granted: number;
  epoch: number;
  /** Wall-clock time at which the program expires. */
  expiresMs: number;
}

/** Programs in the memory of their owner. */
export class ProgramRegistry {
  private readonly options: ProgramRegistryOptions;

  private readonly programs = new Map<string, Program>();

  private readonly recoveries = new Map<string, Promise<Program>>();

  constructor(options: ProgramRegistryOptions) {
    this.options = options;
  }

  get size(): number {
    return this.programs.size;
  }

  /** Returns the number of a customer's programs that have not ended. */
  countActive(customer: string): number {
    let count = 0;
    this.programs.forEach((program) => {
      if (program.customer === customer && !program.isEnded) count += 1;
    });
    return count;
  }

  /** Creates and adds a program. */
  create({ id, parent, granted, epoch, expiresMs }: NewProgram): Program {
    const { customer, partition } = partsOf(id);
    const { ledger } = this.options;
    const budget = new BudgetAccount({ program: id, granted, epoch, ledger });
    const program = new Program({ id, customer, parent, partition, epoch, budget, expiresMs });
    this.programs.set(id, program);
    return program;
  }

  /** Adds a program. */
  add(program: Program): void {
    this.programs.set(program.id, program);
  }

  /** Returns a program if it is in memory. */
  get(id: string): Program | undefined {
    return this.programs.get(id);
  }

  /** Returns the programs of a partition. */
  ofPartition(partition: number): Program[] {
    return [...this.programs.values()].filter((program) => program.partition === partition);
  }

  /** Returns all programs. */
  all(): Program[] {
    return [...this.programs.values()];
  }

  /** Removes a program from memory. */
  remove(id: string): void {
    this.programs.delete(id);
  }

  /**
   * Returns a program under an epoch. A program that is not in memory is recovered once for all
   * concurrent calls, from its history or the transcript.
   */
  async acquire(
    continuation: Continuation,
    epoch: number,
    transcript?: Segment[],
  ): Promise<Program> {
    const known = this.programs.get(continuation.program);
    if (known?.epoch === epoch) return known;
    const key = `${continuation.program}@${epoch}`;
    const running = this.recoveries.get(key);
    if (running) return running;
    const recovery = this.recover(continuation, epoch, transcript).finally(() =>
      this.recoveries.delete(key),
    );
    this.recoveries.set(key, recovery);
    return recovery;
  }

  private async recover(
    continuation: Continuation,
    epoch: number,
    transcript?: Segment[],
  ): Promise<Program> {
    const { ledger, handedOverPrograms } = this.options;
    const { program: id, parent, granted, expiresMs } = continuation;
    const { customer, partition } = partsOf(id);
    const handedOver = await handedOverPrograms.take(id, epoch);
    const holders = [...new Set([...(handedOver?.holders ?? []), ...continuation.holders])];
    const segments = await this.findSegments({ ...continuation, holders }, epoch, transcript);
    const budget = handedOver
      ? new BudgetAccount({ program: id, granted, ...pickBudget(handedOver), epoch, ledger })
      : await this.recoverBudget(id, granted, epoch);
    const options = {
      id,
      customer,
      parent,
      partition,
      epoch,
      budget,
      segments,
      holders,
      expiresMs,
    };
    const visited = handedOver?.visitedEndpoints ?? continuation.endpoints;
    const warmEndpoint = handedOver?.warmEndpoint ?? visited.at(-1) ?? '';
    const program = new Program({ ...options, warmEndpoint });
    visited.forEach((endpoint) => program.recordVisit(endpoint));
    if (!handedOver) program.recoveredAtTurn = program.turn;
    this.programs.set(id, program);
    return program;
  }

  private async findSegments(
    continuation: Continuation,
    epoch: number,
    transcript?: Segment[],
  ): Promise<Segment[]> {
    const { history, log } = this.options;
    const { program, turn } = continuation;
    const fenceToken = { partition: partsOf(program).partition, epoch };
    const segments = (await history.find(fenceToken, continuation)) ?? transcript;
    if (segments) return segments;
    log.write('historyHoldersLost', { program });
    throw transcriptRequired(turn);
  }

  /**
   * Opens the budget of a program that was not handed over. The amount that its former owner spent
   * is unknown, so its upper bound is assumed.
   */
  private async recoverBudget(
    program: string,
    granted: number,
    epoch: number,
  ): Promise<BudgetAccount> {
    const { ledger } = this.options;
    const record = await ledger.read(budgetKey(program));
    if (record.err) throw record.val;
    const recorded = record.val?.granted ?? 0;
    const budget = new BudgetAccount({ program, granted, recorded, epoch, ledger });
    budget.assumeUpperBound();
    return budget;
  }
}

function pickBudget({ spent, recorded }: ProgramSnapshot): { spent: number; recorded: number } {
  return { spent, recorded };
}

function partsOf(id: string): { customer: string; partition: number } {
  const parts = parseProgramId(id);
  if (parts) return parts;
  const message = `"${id}" is not a program id; use the id that opening a program returned`;
  throw new CallError({ kind: 'unknown-program', message });
}

function transcriptRequired(turn: number): CallError {
  const message = `no entry could return the ${turn} turns of this program; send them as "transcript", in the form that the history call returned`;
  return new CallError({ kind: 'transcript-required', message, retryAfterMs: 1_000 });
}

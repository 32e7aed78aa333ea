import type { ConfigurationView } from '@marjorampin/configuration';
import { createSegment } from '@marjorampin/history';
import type { EventLog } from '@marjorampin/logging';
import type { Metrics } from '@marjorampin/metrics';
import {
  CallError,
  type Clock,
  type Contract,
  createProgramId,
  sha256Hex,
  type Segment,
  toCallError,
  type TurnKind,
} from '@marjorampin/types';
import {
  type Call,
  type EndCallBody,
  type HistoryCallBody,
  type ModelCallBody,
  type OpenCallBody,
  type ServiceCallBody,
  type SpawnCallBody,
} from './calls';
import { Answers, NO_USAGE, type TurnUsage } from './answers';
import { ContextReleaser } from './contextReleaser';
import {
  callRateAllowance,
  contractOf,
  priorityOf,
  programAllowance,
  serviceOf,
} from './contractTerms';
import { CustomerLimits } from './customerLimits';
import type { EndpointDispatcher } from './endpointDispatcher';
import type { HistoryReplicator } from './historyReplicator';
import type { LedgerClient } from './ledgerClient';
import { runModelTurn, worstCaseTokens } from './modelTurn';
import type { Program } from './program';
import type { ProgramRegistry } from './programRegistry';
import { serviceCallKey, ServiceTurn } from './serviceTurn';
import { checkChain, checkEpoch, checkExpiry, checkTranscript, findStoredTurn } from './turnChecks';

/** Options of `ProgramOwner`. */
export interface ProgramOwnerOptions {
  configuration: ConfigurationView;
  registry: ProgramRegistry;
  history: HistoryReplicator;
  ledger: LedgerClient;
  dispatcher: EndpointDispatcher;
  clock: Clock;
  log: EventLog;
  metrics: Metrics;
  /** Returns the epoch under which this process owns a partition; throws `not-owner`. */
  epochOf(partition: number): Promise<number>;
  /** Returns whether this process owns a partition. */
  owns(partition: number): boolean;
  /** Sends a turn that ran here to the new owner; returns the ids of the entries that store it. */
  storeAtNewOwner(program: Program, segment: Segment): Promise<string[]>;
  /** Reports to the new owner of a program that its call here ended without a turn. */
  reportCallEnd(program: Program): void;
}

/** Outcome of a turn, before it is stored and answered. */
interface TurnOutcome {
  kind: TurnKind;
  request: string;
  answer: string;
  usage: TurnUsage;
}

/** Fields of every request body that adds a turn. */
interface TurnBody {
  continuation: string;
  transcript?: Segment[] | undefined;
}

/** Executes the calls of the programs whose partitions this process owns. */
export class ProgramOwner {
  private readonly options: ProgramOwnerOptions;

  private readonly limits: CustomerLimits;

  private readonly answers: Answers;

  private readonly releaser: ContextReleaser;

  constructor(options: ProgramOwnerOptions) {
    this.options = options;
    this.limits = new CustomerLimits({ clock: options.clock });
    this.answers = new Answers(options);
    this.releaser = new ContextReleaser({ endpoints: options.dispatcher });
  }

  /** Executes a call and returns its answer as JSON. */
  async execute(call: Call): Promise<string> {
    const epoch = await this.options.epochOf(call.partition);
    const contract = contractOf(this.options.configuration, call.customer);
    this.limits.admit(contract, callRateAllowance(contract, this.options.owns));
    const body: unknown = JSON.parse(call.body);
    switch (call.method) {
      case 'open':
        return this.open(call, body as OpenCallBody, contract, epoch);
      case 'history':
        return this.readHistory(call, body as HistoryCallBody, epoch);
      default:
        return this.enqueueTurn(call, body as TurnBody, contract, epoch);
    }
  }

  private open(call: Call, body: OpenCallBody, contract: Contract, epoch: number): string {
    const { registry, clock } = this.options;
    const { customer, limits, programBudgetTokens, programLifetimeMs } = contract;
    const allowance = programAllowance(contract, this.options.owns);
    if (registry.countActive(customer) >= allowance) {
      const message = `the contract of "${customer}" allows ${limits.concurrentPrograms} programs at once; end one or retry later`;
      throw new CallError({ kind: 'rate-limited', message, retryAfterMs: 1_000 });
    }
    const granted = Math.min(body.budgetTokens ?? programBudgetTokens, programBudgetTokens);
    const program = registry.create({
      id: createProgramId({ customer, partition: call.partition }),
      parent: '',
      granted,
      epoch,
      expiresMs: clock.wallTime() + programLifetimeMs,
    });
    this.options.metrics.count('programs_opened_total', { customer });
    return JSON.stringify(this.answers.buildAnswer(program, 0, NO_USAGE));
  }

  private async readHistory(call: Call, body: HistoryCallBody, epoch: number): Promise<string> {
    const continuation = this.answers.open(body.continuation, call);
    checkEpoch(continuation, epoch);
    const program = await this.options.registry.acquire(continuation, epoch);
    checkChain(program, continuation);
    return JSON.stringify({ program: program.id, turns: program.segments });
  }

  private async enqueueTurn(
    call: Call,
    body: TurnBody,
    contract: Contract,
    epoch: number,
  ): Promise<string> {
    const { registry } = this.options;
    const continuation = this.answers.open(body.continuation, call);
    checkEpoch(continuation, epoch);
    checkExpiry(continuation, this.options.clock.wallTime());
    const transcript = checkTranscript(body.transcript, continuation);
    const program = await registry.acquire(continuation, epoch, transcript);
    const { continuation: sealed, transcript: turns, ...request } = body;
    const requestDigest = sha256Hex(JSON.stringify([call.method, continuation.turn, request]));
    return program.enqueue(requestDigest, async () => {
      try {
        const stored = findStoredTurn(program, continuation, requestDigest);
        if (stored) return JSON.stringify(this.answers.replay(program, stored));
        await this.checkStillOwned(program);
        return await this.runTurn(call, body, contract, program, requestDigest);
      } finally {
        this.reportEndToNewOwner(program);
      }
    });
  }

  /**
   * Reports the end of a call whose program has a new owner, which does not resume the program
   * before this report.
   */
  private reportEndToNewOwner(program: Program): void {
    if (!program.newOwnerAddress || program.isCallEndReported) return;
    this.options.reportCallEnd(program);
  }

  private async runTurn(
    call: Call,
    body: TurnBody,
    contract: Contract,
    program: Program,
    requestDigest: string,
  ): Promise<string> {
    const outcome = await this.dispatchTurn(call, body, contract, program, requestDigest);
    await this.storeTurn(program, outcome, requestDigest);
    if (outcome.kind === 'end') await this.closeProgram(program);
    return JSON.stringify(this.answers.buildAnswer(program, program.turn, outcome.usage));
  }

  private async checkStillOwned(program: Program): Promise<void> {
    const epoch = await this.options.epochOf(program.partition);
    if (epoch === program.epoch) return;
    const message = 'another entry has taken the program over; retry the call';
    throw new CallError({ kind: 'not-owner', message, retryAfterMs: 100 });
  }

  private dispatchTurn(
    call: Call,
    body: TurnBody,
    contract: Contract,
    program: Program,
    requestDigest: string,
  ): Promise<TurnOutcome> {
    switch (call.method) {
      case 'model':
        return this.callModel(call, body as ModelCallBody, contract, program, requestDigest);
      case 'service':
        return this.callService(body as ServiceCallBody, contract, program);
      case 'spawn':
        return this.spawn(body as SpawnCallBody, program);
      default:
        return Promise.resolve(endOutcome(body));
    }
  }

  /** Reserves budget; when it is exhausted, the program's cached context is released. */
  private async reserve(program: Program, tokens: number): Promise<void> {
    try {
      await program.budget.reserve(tokens);
    } catch (error) {
      if (toCallError(error).kind === 'budget-exhausted') this.releaser.releaseAll(program);
      throw error;
    }
  }

  private async callModel(
    call: Call,
    body: ModelCallBody,
    contract: Contract,
    program: Program,
    requestDigest: string,
  ): Promise<TurnOutcome> {
    const { dispatcher, clock } = this.options;
    const service = serviceOf(this.options.configuration, contract, body.service, 'model');
    const worstCase = worstCaseTokens(body);
    await this.reserve(program, worstCase);
    let spent = worstCase;
    try {
      const result = await runModelTurn({
        program,
        body,
        service,
        priority: priorityOf(contract, service),
        requestId: `${program.id}/${requestDigest.slice(0, 16)}`,
        endpoints: dispatcher,
        emittedText: call.emittedText,
        onText: call.onText,
        release: (endpoint) => this.releaser.releaseAt(program, endpoint),
        sleep: (ms) => clock.sleep(ms),
      });
      spent = worstCase - body.maximumTokens + result.outputTokens;
      const { text, ...usage } = result;
      return { kind: 'model', request: body.input, answer: text, usage };
    } catch (error) {
      if (error instanceof CallError && error.execution === 'not-run') spent = 0;
      throw error;
    } finally {
      program.budget.settle(worstCase, spent);
    }
  }

  private async callService(
    body: ServiceCallBody,
    contract: Contract,
    program: Program,
  ): Promise<TurnOutcome> {
    const { dispatcher, ledger, clock, log } = this.options;
    const service = serviceOf(this.options.configuration, contract, body.service, 'plain');
    const key = serviceCallKey(program.customer, body);
    const isUnresolved = program.unresolvedCalls.has(key);
    const mayHaveRunBefore = isUnresolved || program.recoveredAtTurn === program.turn;
    await this.reserve(program, service.costTokens);
    program.unresolvedCalls.add(key);
    let spent = service.costTokens;
    try {
      const options = {
        program,
        body,
        service,
        priority: priorityOf(contract, service),
        endpoints: dispatcher,
        ledger,
        clock,
        log,
        mayHaveRunBefore,
      };
      const result = await new ServiceTurn(options).run();
      program.unresolvedCalls.delete(key);
      const request = `${body.operation} ${JSON.stringify(body.body)}`;
      return { kind: 'service', request, answer: JSON.stringify(result), usage: NO_USAGE };
    } catch (error) {
      if (error instanceof CallError && error.execution === 'not-run') {
        program.unresolvedCalls.delete(key);
        spent = 0;
      }
      throw error;
    } finally {
      program.budget.settle(service.costTokens, spent);
    }
  }

  private async spawn(body: SpawnCallBody, parent: Program): Promise<TurnOutcome> {
    const { registry } = this.options;
    const { budgetTokens } = body;
    await parent.budget.reserve(budgetTokens);
    parent.budget.settle(budgetTokens, budgetTokens);
    const { customer, partition, epoch, expiresMs } = parent;
    const id = createProgramId({ customer, partition });
    const child = registry.create({
      id,
      parent: parent.id,
      granted: budgetTokens,
      epoch,
      expiresMs,
    });
    const answer = JSON.stringify({ program: child.id, continuation: this.answers.seal(child, 0) });
    return { kind: 'spawn', request: String(budgetTokens), answer, usage: NO_USAGE };
  }

  /** Releases the cached context and refunds the unused budget to the parent. */
  private async closeProgram(program: Program): Promise<void> {
    const { registry } = this.options;
    this.releaser.releaseAll(program);
    const parent = registry.get(program.parent);
    if (!parent || parent.epoch !== program.epoch) return;
    const unused = program.budget.granted - program.budget.spent;
    // Closing records the whole grant as used, so that an owner that recovers the sub-agent can't
    // spend the refund again.
    await program.budget.close();
    parent.budget.refund(unused);
  }

  /** Appends the turn to the history and replicates it. */
  private async storeTurn(
    program: Program,
    outcome: TurnOutcome,
    requestDigest: string,
  ): Promise<void> {
    const segment = createSegment({
      program: program.id,
      turn: program.turn + 1,
      kind: outcome.kind,
      request: outcome.request,
      requestDigest,
      answer: outcome.answer,
      previousDigest: program.digest,
      spent: program.budget.spent,
    });
    program.append(segment, await this.replicate(program, segment));
  }

  private async replicate(program: Program, segment: Segment): Promise<string[]> {
    const { history, storeAtNewOwner } = this.options;
    if (program.newOwnerAddress) return storeAtNewOwner(program, segment);
    const fenceToken = { partition: program.partition, epoch: program.epoch };
    try {
      return await history.store(fenceToken, [...program.segments, segment], program.holders);
    } catch (thrown) {
      if (program.newOwnerAddress) return storeAtNewOwner(program, segment);
      // The turn's action was executed, whether or not the turn was stored.
      const { kind, message, retryAfterMs } = toCallError(thrown);
      throw new CallError({ kind, message, retryAfterMs, execution: 'unknown' });
    }
  }
}

function endOutcome(_body: EndCallBody): TurnOutcome {
  return { kind: 'end', request: '', answer: '', usage: NO_USAGE };
}

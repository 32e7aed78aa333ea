import { type IncomingCall, PeerHandler, type Request } from '@marjorampin/protocol';
import type { EventLog } from '@marjorampin/logging';
import {
  CallError,
  type Clock,
  EpochFence,
  type FenceToken,
  toCallError,
} from '@marjorampin/types';
import { CallRegistry } from './callRegistry';
import type { ModelEndpoint, ModelOutcome, ModelRequest } from './modelEndpoint';
import type { PlainEndpoint } from './plainEndpoint';

type ReplyInit = Awaited<ReturnType<PeerHandler['handle']>>;
type RequestOf<Case extends string> = Extract<Request['body'], { case: Case }>['value'];

/** Time without a model call after which the cached context of a program is released. */
export const IDLE_CONTEXT_TIMEOUT_MS = 600_000;

/**
 * A generation may outlast its caller's deadline, as a repeated call gets its answer. It is stopped
 * after this many times the deadline, however often its engine sends text.
 */
const MAXIMUM_DEADLINES = 4;

/** Options of `AgentHandler`. */
export interface AgentHandlerOptions {
  /** Id of the endpoint. */
  endpoint: string;
  /** Incarnation of the agent, which differs at each start. */
  incarnation: string;
  /** Calls the endpoint over its own protocol. */
  adapter: ModelEndpoint | PlainEndpoint;
  log: EventLog;
  clock: Clock;
  /** Sends a program's exported context to the agent at an address. */
  sendContext(address: string, exported: string): Promise<void>;
}

const ACCEPTED: ReplyInit = { body: { case: 'acknowledgement', value: { accepted: true } } };

/**
 * Handles the requests of entries and other agents: refuses former owners of a partition, prevents
 * repeated executions and calls the endpoint.
 */
export class AgentHandler extends PeerHandler {
  readonly fence = new EpochFence();

  readonly callRegistry = new CallRegistry();

  /** Set when a graceful shutdown begins; new calls are refused from then on. */
  isLeaving = false;

  private readonly options: AgentHandlerOptions;

  private runningCalls = 0;

  /** Time of the last model call of each program whose context the engine may have cached. */
  private readonly lastCalledAtMs = new Map<string, number>();

  constructor(options: AgentHandlerOptions) {
    super();
    this.options = options;
  }

  /** Number of calls in progress at the endpoint. */
  get running(): number {
    return this.runningCalls;
  }

  /**
   * Releases the contexts of programs without a model call for `IDLE_CONTEXT_TIMEOUT_MS`, in case
   * their owners crashed before releasing them.
   */
  async releaseIdleContexts(): Promise<void> {
    const idleBeforeMs = this.options.clock.now() - IDLE_CONTEXT_TIMEOUT_MS;
    const idlePrograms = [...this.lastCalledAtMs].filter(
      ([, calledAtMs]) => calledAtMs < idleBeforeMs,
    );
    for (const [program] of idlePrograms) {
      this.lastCalledAtMs.delete(program);
      await this.modelAdapter().release(program);
    }
  }

  override async handle({ body }: Request, call: IncomingCall): Promise<ReplyInit> {
    switch (body.case) {
      case 'modelCall':
        return this.callModel(body.value, call);
      case 'serviceCall':
        return this.callService(body.value);
      case 'voidCall':
        return this.voidCall(body.value);
      case 'settleCalls':
        this.callRegistry.settle(body.value.keys);
        return ACCEPTED;
      case 'releaseContext':
        return this.releaseContext(body.value);
      case 'moveContext':
        return this.moveContext(body.value);
      case 'importContext':
        await this.modelAdapter().importContext(body.value.exported);
        return ACCEPTED;
      default:
        throw new CallError({
          kind: 'invalid-request',
          message: `an agent does not handle "${body.case}" requests; send them to an entry`,
        });
    }
  }

  override handleReport(): void {}

  private async callModel(request: RequestOf<'modelCall'>, call: IncomingCall): Promise<ReplyInit> {
    this.checkFence(request.fence);
    this.refuseWhenLeaving();
    const { request: id, program, context, resumeText, maximumTokens, priority } = request;
    this.lastCalledAtMs.set(program, this.options.clock.now());
    const generation = { request: id, program, context, resumeText, maximumTokens, priority };
    const value = await this.runAtEndpoint(() =>
      this.generateInTime(generation, request.deadlineMs, call),
    );
    return { body: { case: 'modelResult', value } };
  }

  private async generateInTime(
    generation: ModelRequest,
    deadlineMs: number,
    { signal, sendItem: onText }: IncomingCall,
  ): Promise<ModelOutcome> {
    const adapter = this.modelAdapter();
    if (deadlineMs === 0) return adapter.generate(generation, onText, signal);
    const limitMs = MAXIMUM_DEADLINES * deadlineMs;
    const limit = new AbortController();
    const cancelTimer = this.options.clock.after(limitMs, () => limit.abort());
    try {
      return await adapter.generate(generation, onText, AbortSignal.any([signal, limit.signal]));
    } catch (error) {
      throw limit.signal.aborted ? generationTooLong(this.options.endpoint, limitMs) : error;
    } finally {
      cancelTimer();
    }
  }

  private async callService(request: RequestOf<'serviceCall'>): Promise<ReplyInit> {
    const { fence, key, attempt, operation, body, incarnation, idempotent } = request;
    this.checkFence(fence);
    this.refuseWhenLeaving();
    if (!idempotent) this.checkIncarnation(incarnation);
    // Never aborts: a call runs on when its entry fails, so that `voidCall` can return its outcome.
    const { signal } = new AbortController();
    const execute = () =>
      this.runAtEndpoint(() => this.plainAdapter().execute({ operation, key, body }, signal));
    const value = idempotent
      ? await execute()
      : await this.callRegistry.run(attemptKey(key, attempt), execute);
    return { body: { case: 'serviceResult', value } };
  }

  private async voidCall(request: RequestOf<'voidCall'>): Promise<ReplyInit> {
    const { fence, key, attempt, incarnation } = request;
    this.checkFence(fence);
    if (incarnation !== this.options.incarnation) {
      return { body: { case: 'voidResult', value: { outcome: 'unknown' } } };
    }
    const value = await this.callRegistry.void(attemptKey(key, attempt));
    return { body: { case: 'voidResult', value } };
  }

  private async releaseContext({
    fence,
    program,
  }: RequestOf<'releaseContext'>): Promise<ReplyInit> {
    this.checkFence(fence);
    this.lastCalledAtMs.delete(program);
    await this.modelAdapter().release(program);
    return ACCEPTED;
  }

  private async moveContext(request: RequestOf<'moveContext'>): Promise<ReplyInit> {
    const { fence, program, targetAddress } = request;
    this.checkFence(fence);
    const exported = await this.modelAdapter().exportContext(program);
    await this.options.sendContext(targetAddress, exported);
    await this.modelAdapter().release(program);
    return ACCEPTED;
  }

  private checkFence(token: FenceToken | undefined): void {
    try {
      this.fence.check(token);
    } catch (error) {
      const { endpoint, log } = this.options;
      log.write('staleEpochRefused', { endpoint, partition: token?.partition });
      throw error;
    }
  }

  private refuseWhenLeaving(): void {
    if (!this.isLeaving) return;
    const message = `endpoint ${this.options.endpoint} is leaving; use another endpoint`;
    throw new CallError({ kind: 'leaving', message });
  }

  private checkIncarnation(incarnation: string): void {
    if (incarnation === this.options.incarnation) return;
    const message = `the agent of ${this.options.endpoint} restarted after the call was prepared; prepare the call again`;
    throw new CallError({ kind: 'stale-epoch', message });
  }

  private async runAtEndpoint<Value>(run: () => Promise<Value>): Promise<Value> {
    this.runningCalls += 1;
    try {
      return await run();
    } catch (error) {
      const { kind, message } = toCallError(error);
      this.options.log.write('endpointFailed', { endpoint: this.options.endpoint, kind, message });
      throw error;
    } finally {
      this.runningCalls -= 1;
    }
  }

  private modelAdapter(): ModelEndpoint {
    const { adapter, endpoint } = this.options;
    if ('generate' in adapter) return adapter;
    const message = `endpoint ${endpoint} is a plain service; make a service call`;
    throw new CallError({ kind: 'invalid-request', message });
  }

  private plainAdapter(): PlainEndpoint {
    const { adapter, endpoint } = this.options;
    if ('execute' in adapter) return adapter;
    const message = `endpoint ${endpoint} is a model engine; make a model call`;
    throw new CallError({ kind: 'invalid-request', message });
  }
}

function generationTooLong(endpoint: string, limitMs: number): CallError {
  const message = `the generation at ${endpoint} did not end within ${limitMs} ms; check the engine`;
  return new CallError({ kind: 'deadline-exceeded', message, execution: 'unknown' });
}

/** Returns the key under which an attempt is registered; `settleCalls` requests carry it too. */
function attemptKey(key: string, attempt: number): string {
  return `${key}#${attempt}`;
}

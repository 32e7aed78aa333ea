import { type IncomingCall, PeerHandler, type Request } from '@marjorampin/protocol';
import type { EventLog } from '@marjorampin/logging';
import {
  CallError,
  type Clock,
  EpochFence,
  type FenceToken,
  toCallError,
} from '@marjorampin/types';
import { CallRegister } from './callRegister';
import type { ModelEndpoint } from './modelEndpoint';
import type { PlainEndpoint } from './plainEndpoint';

type ReplyInit = Awaited<ReturnType<PeerHandler['handle']>>;
type RequestOf<Case extends string> = Extract<Request['body'], { case: Case }>['value'];

/** Context of a program that made no call for this long is released. */
export const IDLE_CONTEXT_LIMIT_MS = 600_000;

/** What answers the entries' requests at one endpoint. */
export interface AgentHandlerOptions {
  endpoint: string;
  incarnation: string;
  adapter: ModelEndpoint | PlainEndpoint;
  log: EventLog;
  clock: Clock;
  /** Sends a program's exported context to the agent at an address. */
  sendContext(address: string, exported: string): Promise<void>;
}

const ACCEPTED: ReplyInit = { body: { case: 'acknowledgement', value: { accepted: true } } };

/** Answers the entries' requests: fences, refuses repeats, and calls the endpoint. */
export class AgentHandler extends PeerHandler {
  readonly fence = new EpochFence();

  readonly register = new CallRegister();

  isLeaving = false;

  private readonly options: AgentHandlerOptions;

  private runningCalls = 0;

  /** Time of the last call of each program whose context the engine may hold. */
  private readonly lastCalls = new Map<string, number>();

  constructor(options: AgentHandlerOptions) {
    super();
    this.options = options;
  }

  /** Number of calls at the endpoint. */
  get running(): number {
    return this.runningCalls;
  }

  /** Frees the memory of programs whose owners vanished or forgot them. */
  async releaseIdle(): Promise<void> {
    const before = this.options.clock.now() - IDLE_CONTEXT_LIMIT_MS;
    const idle = [...this.lastCalls].filter(([, calledAtMs]) => calledAtMs < before);
    for (const [program] of idle) {
      this.lastCalls.delete(program);
      await this.model().release(program);
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
        this.register.settle(body.value.keys);
        return ACCEPTED;
      case 'releaseContext':
        return this.release(body.value);
      case 'moveContext':
        return this.move(body.value);
      case 'importContext':
        await this.model().importContext(body.value.exported);
        return ACCEPTED;
      default:
        throw new CallError({
          kind: 'invalid-request',
          message: `an agent does not answer "${body.case}"; send it to an entry`,
        });
    }
  }

  override handleReport(): void {}

  private async callModel(request: RequestOf<'modelCall'>, call: IncomingCall): Promise<ReplyInit> {
    this.admit(request.fence);
    this.refuseWhenLeaving();
    const { request: id, program, context, resumeText, maximumTokens, priority } = request;
    this.lastCalls.set(program, this.options.clock.now());
    const generation = { request: id, program, context, resumeText, maximumTokens, priority };
    const value = await this.counted(() =>
      this.model().generate(generation, (text) => call.send(text), call.signal),
    );
    return { body: { case: 'modelResult', value } };
  }

  private async callService(request: RequestOf<'serviceCall'>): Promise<ReplyInit> {
    const { fence, key, attempt, operation, body, incarnation, idempotent } = request;
    this.admit(fence);
    this.refuseWhenLeaving();
    if (!idempotent) this.checkIncarnation(incarnation);
    // A call goes on when its owner vanishes, so that its outcome can be asked for.
    const { signal } = new AbortController();
    const execute = () =>
      this.counted(() => this.plain().execute({ operation, key, body }, signal));
    const value = idempotent
      ? await execute()
      : await this.register.run(registerKey(key, attempt), execute);
    return { body: { case: 'serviceResult', value } };
  }

  private async voidCall(request: RequestOf<'voidCall'>): Promise<ReplyInit> {
    const { fence, key, attempt, incarnation } = request;
    this.admit(fence);
    if (incarnation !== this.options.incarnation) {
      return { body: { case: 'voidResult', value: { outcome: 'unknown' } } };
    }
    const value = await this.register.void(registerKey(key, attempt));
    return { body: { case: 'voidResult', value } };
  }

  private async release({ fence, program }: RequestOf<'releaseContext'>): Promise<ReplyInit> {
    this.admit(fence);
    this.lastCalls.delete(program);
    await this.model().release(program);
    return ACCEPTED;
  }

  private async move(request: RequestOf<'moveContext'>): Promise<ReplyInit> {
    const { fence, program, targetAddress } = request;
    this.admit(fence);
    const exported = await this.model().exportContext(program);
    await this.options.sendContext(targetAddress, exported);
    await this.model().release(program);
    return ACCEPTED;
  }

  private admit(token: FenceToken | undefined): void {
    try {
      this.fence.admit(token);
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
    const message = `the agent of ${this.options.endpoint} was restarted since the call was prepared; prepare it anew`;
    throw new CallError({ kind: 'stale-epoch', message });
  }

  private async counted<Value>(run: () => Promise<Value>): Promise<Value> {
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

  private model(): ModelEndpoint {
    const { adapter, endpoint } = this.options;
    if ('generate' in adapter) return adapter;
    const message = `endpoint ${endpoint} is a plain service; make a service call`;
    throw new CallError({ kind: 'invalid-request', message });
  }

  private plain(): PlainEndpoint {
    const { adapter, endpoint } = this.options;
    if ('execute' in adapter) return adapter;
    const message = `endpoint ${endpoint} is a model engine; make a model call`;
    throw new CallError({ kind: 'invalid-request', message });
  }
}

function registerKey(key: string, attempt: number): string {
  return `${key}#${attempt}`;
}

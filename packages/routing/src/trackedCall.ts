import type { Clock } from '@marjorampin/types';
import type { EndpointView } from './endpointDirectory';
import type { RunningCall } from './endpointWork';
import { type EngineCall, type EngineCost, type EngineCosts, totalMs } from './engineCosts';
import type { ServiceCosts } from './serviceCosts';

/** How a call at an endpoint ended: answered, failed because of the endpoint, or neither. */
export type SentOutcome = 'answered' | 'failed' | 'other';

/** A call to a plain service. */
export interface PlainCall {
  costs: ServiceCosts;
  route: string;
  /** Whether the call was sent where the earlier ones with its affinity key go; undefined without one. */
  isReturning: boolean | undefined;
}

/** A call to an engine with its expected cost. */
export interface PricedCall {
  costs: EngineCosts;
  call: EngineCall;
  cost: EngineCost;
}

/** Expected and actual cost of a call at an endpoint; empty if no cost was expected. */
export interface CostFields {
  /** Expected and actual time at the endpoint in milliseconds. */
  expectedMs?: number;
  servedMs?: number;
  /** Expected wait for a slot, a part of `expectedMs`. */
  expectedWaitMs?: number;
  /** Prompt tokens that the endpoint was not expected to have cached. */
  uncachedTokens?: number;
}

/** Options of `TrackedCall`. */
export interface TrackedCallOptions {
  view: EndpointView;
  clock: Clock;
  engine?: PricedCall | undefined;
  plain?: PlainCall | undefined;
}

/** A call at an endpoint: counts as its work while it runs, and teaches the costs of its service. */
export class TrackedCall {
  private readonly options: TrackedCallOptions;

  private readonly running: RunningCall;

  private firstEventAtMs: number | undefined;

  private lastEventAtMs = 0;

  private events = 0;

  private hasWaited: boolean;

  private endedAtMs: number | undefined;

  constructor(options: TrackedCallOptions) {
    const { view, clock, engine, plain } = options;
    this.options = options;
    const tokens = engine ? engine.call.promptTokens + engine.call.outputTokens : 0;
    const sentAtMs = clock.now();
    this.running = { sentAtMs, expectedMs: expectedMsOf(options), tokens };
    this.hasWaited = (engine?.cost.waitMs ?? 0) > 0;
    view.work.start(this.running);
    view.silence.start(this.running, sentAtMs, this.running.expectedMs);
    if (tokens > 0) engine?.costs.costs.recordTokens(tokens);
    // The endpoint has the prompt once the call runs; calls that follow at once may count on it.
    if (engine) engine.costs.recordPrompt(view, engine.call);
    if (plain) this.hasWaited = view.load.queued > 0;
  }

  /** Records that the answer has begun. */
  recordAnswer(): void {
    this.options.view.silence.recordAnswer(this.running);
  }

  /** Records the number of queued calls that the endpoint stated with the answer. */
  recordQueued(queued: number): void {
    this.hasWaited = queued > 0;
  }

  /** Records events that have arrived. */
  recordEvents(count: number): void {
    const nowMs = this.options.clock.now();
    this.firstEventAtMs ??= nowMs;
    this.lastEventAtMs = nowMs;
    this.events += count;
  }

  /** Ends the call; further ends have no effect. */
  end(outcome: SentOutcome): void {
    if (this.endedAtMs !== undefined) return;
    const { view, clock } = this.options;
    const nowMs = clock.now();
    this.endedAtMs = nowMs;
    view.work.end(this.running);
    view.silence.end(this.running, nowMs);
    if (outcome === 'failed') view.health.recordFailure(nowMs);
    if (outcome !== 'answered') return;
    view.health.recordSuccess(nowMs);
    if (this.hasWaited) return;
    this.learnEngineCall(nowMs);
    this.learnPlainCall(nowMs);
  }

  /** Log fields: expected and actual costs in milliseconds, and prompt tokens not expected to be cached. */
  get fields(): CostFields {
    const { engine, clock } = this.options;
    const { sentAtMs, expectedMs } = this.running;
    if (expectedMs === 0) return {};
    return {
      expectedMs: Math.round(expectedMs),
      servedMs: Math.round((this.endedAtMs ?? clock.now()) - sentAtMs),
      ...(engine && {
        expectedWaitMs: Math.round(engine.cost.waitMs * engine.cost.speed),
        uncachedTokens: engine.cost.uncachedTokens,
      }),
    };
  }

  private learnEngineCall(nowMs: number): void {
    const { view, engine } = this.options;
    const { firstEventAtMs, lastEventAtMs, events } = this;
    if (!engine || firstEventAtMs === undefined) return;
    const { costs, cost } = engine;
    const { tokensPerEvent } = costs.traits;
    const measured = {
      uncachedTokens: cost.uncachedTokens,
      firstEventMs: firstEventAtMs - this.running.sentAtMs,
      outputTokens: events * tokensPerEvent,
      outputMs: lastEventAtMs - firstEventAtMs,
      laterTokens: (events - 1) * tokensPerEvent,
      running: Math.min(costs.slotsOf(view), Math.max(1, view.work.knownCalls)),
    };
    const usualMs = costs.costs.usualMs(measured);
    if (usualMs > 0) {
      view.work.recordDuration((measured.firstEventMs + measured.outputMs) / usualMs, nowMs);
    }
    costs.costs.recordEngineCall(measured);
  }

  private learnPlainCall(nowMs: number): void {
    const { view, plain } = this.options;
    if (!plain) return;
    const durationMs = nowMs - this.running.sentAtMs;
    const usualMs = plain.costs.routeMs(plain.route);
    if (usualMs > 0) view.work.recordDuration(durationMs / usualMs, nowMs);
    plain.costs.recordRouteCall(plain.route, durationMs, plain.isReturning);
  }
}

function expectedMsOf({ engine, plain }: TrackedCallOptions): number {
  if (engine) return engine.costs.isLearned ? totalMs(engine.cost) : 0;
  return plain ? plain.costs.routeMs(plain.route) : 0;
}

import { RobustAverage, RobustLine } from './robustAverage';

/** Routes of a service whose duration is remembered. */
const MAXIMUM_ROUTES = 64;

/** A call to an engine that has ended. */
export interface MeasuredCall {
  /** Prompt tokens that were expected not to be cached. */
  uncachedTokens: number;
  /** Time from the sending of the call to its first event. */
  firstEventMs: number;
  outputTokens: number;
  /** Time from the first event to the last one, and the tokens that followed the first event. */
  outputMs: number;
  laterTokens: number;
  /** Calls that the endpoint ran meanwhile. */
  running: number;
}

/** Cost of a prompt token until calls with different numbers of them were measured, and the lowest one:
 * measurements of a loaded engine can hide the cost. */
const DEFAULT_MS_PER_PROMPT_TOKEN = 0.02;
const MINIMUM_MS_PER_PROMPT_TOKEN = 0.002;

/** Durations of a route's calls. */
interface RouteDurations {
  all: RobustAverage;
  /** Calls that went where an earlier one with the same affinity key had gone, and the others. */
  returning: RobustAverage;
  first: RobustAverage;
}

/**
 * Durations of a service's calls, learned from the answers that this process received. Answers calls
 * that look alike but cost different amounts of work.
 */
export class ServiceCosts {
  /** Milliseconds to the first event, by prompt tokens that were not cached. */
  private readonly firstEvent = new RobustLine();

  /** Milliseconds for each output token, by running calls. */
  private readonly outputToken = new RobustLine();

  private readonly call = new RobustAverage();

  private readonly tokens = new RobustAverage();

  private readonly output = new RobustAverage();

  private readonly others = new RobustAverage();

  private readonly routes = new Map<string, RouteDurations>();

  /** Records a call to an engine that did not wait for a slot. */
  recordEngineCall(call: MeasuredCall): void {
    this.firstEvent.add(call.uncachedTokens, call.firstEventMs);
    this.output.add(call.outputTokens);
    this.call.add(call.firstEventMs + call.outputMs);
    if (call.laterTokens > 0) {
      this.outputToken.add(call.running, call.outputMs / call.laterTokens);
    }
  }

  /** Records the tokens that a call takes up in an endpoint's memory. */
  recordTokens(tokens: number): void {
    this.tokens.add(tokens);
  }

  /** Records the number of calls of other processes in a report. */
  recordOthers(calls: number): void {
    this.others.add(calls);
  }

  /** Records a call to a plain service. */
  recordRouteCall(route: string, durationMs: number, isReturning: boolean | undefined): void {
    const durations = this.durationsOf(route);
    durations.all.add(durationMs);
    if (isReturning !== undefined) {
      (isReturning ? durations.returning : durations.first).add(durationMs);
    }
  }

  /** Whether enough engine calls were measured to compute costs from them. */
  get isLearned(): boolean {
    return this.firstEvent.isKnown && this.outputToken.isKnown;
  }

  /** Milliseconds for each prompt token that is not cached. */
  get msPerPromptToken(): number {
    const slope = this.firstEvent.slope ?? DEFAULT_MS_PER_PROMPT_TOKEN;
    return Math.max(MINIMUM_MS_PER_PROMPT_TOKEN, slope);
  }

  /** Returns the expected time to the first event of a call that does not wait. */
  firstEventMs(uncachedTokens: number): number {
    return this.firstEvent.at(uncachedTokens);
  }

  /** Returns the milliseconds for each output token while an endpoint runs this many calls. */
  msPerOutputToken(running: number): number {
    return this.outputToken.at(running);
  }

  /** Returns the usual duration of a measured call; 0 until it is known. */
  usualMs({ uncachedTokens, laterTokens, running }: MeasuredCall): number {
    if (!this.isLearned) return 0;
    return this.firstEventMs(uncachedTokens) + laterTokens * this.msPerOutputToken(running);
  }

  /** Mean duration of a call without its wait for a slot. */
  get callMs(): number {
    return this.call.valueOr(0);
  }

  /** Mean tokens that a call takes up in an endpoint's memory. */
  get callTokens(): number {
    return this.tokens.valueOr(0);
  }

  /** Mean number of output tokens of a call. */
  get outputTokens(): number {
    return this.output.valueOr(0);
  }

  /** Mean number of calls of other processes at an endpoint. */
  get otherCalls(): number {
    return this.others.valueOr(0);
  }

  /** Returns the expected duration of a route's call; 0 until it is known. */
  routeMs(route: string): number {
    const all = this.routes.get(route)?.all;
    return all?.isKnown ? all.valueOr(0) : 0;
  }

  /** Returns the time that a call saves where an earlier one with its affinity key went; undefined until
   * it is known. */
  affinitySavingMs(route: string): number | undefined {
    const durations = this.routes.get(route);
    if (!durations?.returning.isKnown || !durations.first.isKnown) return undefined;
    return Math.max(0, durations.first.valueOr(0) - durations.returning.valueOr(0));
  }

  private durationsOf(route: string): RouteDurations {
    const known = this.routes.get(route);
    if (known) return known;
    const created = {
      all: new RobustAverage(),
      returning: new RobustAverage(),
      first: new RobustAverage(),
    };
    this.routes.set(route, created);
    const [oldest] = this.routes.keys();
    if (this.routes.size > MAXIMUM_ROUTES && oldest !== undefined) this.routes.delete(oldest);
    return created;
  }
}

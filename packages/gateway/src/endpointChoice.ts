import {
  chooseEndpoint,
  type ChoiceOptions,
  type ChoiceRequest,
  type CostedCall,
  EndpointDirectory,
  type EndpointView,
  type EngineCostRules,
  expectedWaitMs,
  RequestCosts,
  sampleCandidates,
  type TrackedCall,
  shortestWaitMs,
} from '@marjorampin/routing';
import { type Clock, type Endpoint, incarnationKey } from '@marjorampin/types';
import type { AnswerHeaders, AnswerLoad } from './headerCodec';
import { hasIdleConnection } from './endpointExchange';
import type { RateLimits } from './rateLimits';
import type { EndpointCounts } from './suspectCalls';

/** Load reports older than this are ignored, because most of the calls that they count have ended. */
const MAXIMUM_LOAD_AGE_MS = 500;
/** Time for which a failed endpoint gets no new calls; shorter than the restart of an endpoint. */
const FAILURE_EXCLUSION_MS = 1_000;
/** Time for which a crashed endpoint gets no new calls, unless it registers anew earlier. */
const CRASH_EXCLUSION_MS = 3_000;
/** Number of calls that are assumed to wait for a slot at an endpoint that refused a call as full. */
const QUEUED_WHEN_FULL = 4;

/** Requirements and preferences for choosing the endpoint of a call. */
export interface EndpointRequirements {
  /** The call, with its service. */
  call: CostedCall;
  /** Id of the endpoint that caches the call's context; empty if none does. */
  warmEndpoint: string;
  /** Tokens of context that any other endpoint has to process first. */
  contextTokens: number;
  /** Ids of endpoints that were tried already and are not chosen again. */
  triedIds: Set<string>;
  /** Whether the call may be sent on an idle connection of an earlier call. */
  mayReuseConnection: boolean;
  /** Position of a suspected input among all of them; undefined for any other. */
  suspectRank?: number | undefined;
}

const NONE_TRIED = new Set<string>();

/** Cost parameters for the choice between engines, in milliseconds. */
const ENGINE_COSTS: ChoiceOptions = {
  prefillMsPerToken: 0.02,
  runningCallMs: 8,
  queuedCallMs: 60,
};

/** Options of `EndpointChoice`. */
export interface EndpointChoiceOptions {
  clock: Clock;
  /** Failure domain of this entry; its endpoints are preferred. */
  domain: string;
  rateLimits: Pick<RateLimits, 'expectedWaitMs'>;
  random?: () => number;
  /** Switches with which an ablation disables single rules. */
  rules?: EngineCostRules;
  /** As in `RequestCosts`. */
  usesCosts?: boolean | undefined;
}

/** Tracks the load and availability of endpoints and chooses one for each call. */
export class EndpointChoice {
  readonly directory: EndpointDirectory;

  /** Expected costs of calls; services are configured there. */
  readonly costs: RequestCosts;

  private readonly clock: Clock;

  private readonly domain: string;

  private readonly random: () => number;

  private readonly rateLimits: Pick<RateLimits, 'expectedWaitMs'>;

  /** Position of the endpoints that this entry usually considers, among those of a large service. */
  private readonly home: number;

  /** Looked up only for the endpoints whose cost is computed. */
  private readonly connectedEndpoints = {
    has: (id: string) => {
      const view = this.directory.get(id);
      return view !== undefined && hasIdleConnection(view.endpoint);
    },
  };

  constructor({
    clock,
    domain,
    rateLimits,
    random = Math.random,
    rules,
    usesCosts,
  }: EndpointChoiceOptions) {
    this.clock = clock;
    this.domain = domain;
    this.rateLimits = rateLimits;
    this.random = random;
    this.home = random();
    this.directory = new EndpointDirectory({ clock });
    this.costs = new RequestCosts({ clock, random, rules, usesCosts });
  }

  /** Returns the endpoint with the lowest expected cost, or undefined when none is available. */
  choose(requirements: EndpointRequirements): Endpoint | undefined {
    const { warmEndpoint, contextTokens, triedIds, mayReuseConnection, suspectRank, call } =
      requirements;
    const nowMs = this.clock.now();
    if (suspectRank !== undefined) {
      const isUsable = this.usability(triedIds, nowMs);
      const all = this.directory.ofService(call.service).filter(isUsable);
      return endpointOfRank(all, suspectRank);
    }
    const usable = this.currentViews(call, triedIds);
    const decides = this.costs.decidesAt(call.service);
    const views = decides ? trustedOf(usable, nowMs) : usable;
    const plainCostMs = this.costs.plainCosts(views, call);
    const request: ChoiceRequest = {
      warmEndpoint,
      contextTokens,
      wastedCachePriceMs: 0,
      domain: this.domain,
      furtherCostMs: (view) => plainCostMs(view) + (decides ? view.health.failureCostMs(nowMs) : 0),
    };
    if (mayReuseConnection) request.connectedEndpoints = this.connectedEndpoints;
    if (this.costs.isKnown(call)) return this.costs.chooseEngine(views, call, request)?.endpoint;
    // With equal costs, a fixed order would send the calls of all entries to the same endpoint.
    return chooseEndpoint(views, request, ENGINE_COSTS, this.random)?.endpoint;
  }

  /** Counts a call that is sent to an endpoint; undefined if it is not registered any more. */
  begin(endpoint: Endpoint, call: CostedCall): TrackedCall | undefined {
    const isTracked = this.costs.decidesAt(call.service) || call.affinityKey !== undefined;
    if (!isTracked) return undefined;
    const view = this.directory.get(endpoint.id);
    if (view?.endpoint.incarnation !== endpoint.incarnation) return undefined;
    return this.costs.begin(view, call, () => this.candidates(call, NONE_TRIED));
  }

  /** Returns an endpoint, as leaving also if only its answers say so; undefined if not registered. */
  registrationOf(id: string): Endpoint | undefined {
    const view = this.directory.get(id);
    return view?.isLeaving ? { ...view.endpoint, state: 'leaving' } : view?.endpoint;
  }

  /** Returns the numbers of endpoints of a service. */
  countEndpoints(service: string): EndpointCounts {
    const views = this.directory.ofService(service);
    const available = views.filter((view) => this.directory.isUsable(view));
    return { registered: views.length, available: available.length };
  }

  /** Returns whether an endpoint may still get new calls. */
  isAvailable({ id, incarnation }: Endpoint): boolean {
    const view = this.directory.get(id);
    return view?.endpoint.incarnation === incarnation && this.directory.isUsable(view);
  }

  /** Returns the shortest expected wait at any endpoint that may get a new call. */
  shortestWaitMs(call: CostedCall): number {
    return shortestWaitMs(this.currentViews(call, NONE_TRIED), ENGINE_COSTS);
  }

  /** Returns the shortest expected time in which a call is finished at any endpoint that may get it. */
  shortestFinishMs(call: CostedCall): number {
    const nowMs = this.clock.now();
    const finishesMs = this.candidates(call, NONE_TRIED).map((view) =>
      this.finishMs(view, call, nowMs),
    );
    return Math.min(Infinity, ...finishesMs);
  }

  /** Returns the shortest expected wait for a slot at any endpoint that may get a call; 0 if costs don't decide. */
  shortestSlotWaitMs(call: CostedCall): number {
    if (!this.costs.isKnown(call)) return 0;
    const waitsMs = this.candidates(call, NONE_TRIED).map((view) =>
      this.costs.slotWaitMs(view, call),
    );
    return Math.min(Infinity, ...waitsMs);
  }

  /** Returns whether some endpoint that may get new calls is expected to finish a call in time. */
  canFinishWithin(call: CostedCall, limitMs: number): boolean {
    const nowMs = this.clock.now();
    return this.candidates(call, NONE_TRIED).some(
      (view) => this.finishMs(view, call, nowMs) <= limitMs,
    );
  }

  /** Updates an endpoint's load and availability from the status and headers of an answer. */
  recordAnswer(
    endpoint: Endpoint,
    { load, isNotRun, isLeaving }: AnswerHeaders,
    status: number,
  ): void {
    if (isLeaving) this.directory.markLeaving(endpoint);
    this.reportWork(endpoint, load, isNotRun && status === 503);
    if (load) {
      const { running, queued } = load;
      this.directory.report(endpoint.id, { running, queued, cachedTokens: 0 }, false);
    } else if (isNotRun && status === 503) {
      this.directory.report(
        endpoint.id,
        { running: 0, queued: QUEUED_WHEN_FULL, cachedTokens: 0 },
        false,
      );
    }
    if (isNotRun && status === 421) this.directory.exclude(endpoint.id, FAILURE_EXCLUSION_MS);
  }

  /** Excludes an endpoint that failed from new calls for a short time. */
  recordFailure(endpoint: Endpoint): void {
    this.directory.exclude(endpoint.id, FAILURE_EXCLUSION_MS);
  }

  /** Excludes an endpoint that crashed from new calls; `key` names its incarnation. */
  recordCrash(key: string): void {
    const crashed = this.directory.all().find(({ endpoint }) => incarnationKey(endpoint) === key);
    if (crashed) this.directory.exclude(crashed.endpoint.id, CRASH_EXCLUSION_MS);
  }

  /** Returns the expected time in which a call is finished at an endpoint; without a known cost, the
   * expected wait. */
  private finishMs(view: EndpointView, call: CostedCall, nowMs: number): number {
    const current = this.currentView(view, nowMs);
    return this.costs.isKnown(call)
      ? this.costs.earliestFinishMs(current, call)
      : expectedWaitMs(current, ENGINE_COSTS);
  }

  private reportWork(
    { id, incarnation }: Endpoint,
    load: AnswerLoad | undefined,
    isFull: boolean,
  ): void {
    const view = this.directory.get(id);
    if (view?.endpoint.incarnation !== incarnation) return;
    if (load) {
      const { running, queued, slots, slowdown } = load;
      this.costs.report(view, { calls: running + queued, slots, slowdown });
    } else if (isFull) {
      this.costs.reportFull(view, QUEUED_WHEN_FULL);
    }
  }

  /** Returns the endpoints that are considered for a call and may get it. */
  private candidates(call: CostedCall, triedIds: Set<string>): EndpointView[] {
    const nowMs = this.clock.now();
    const { service, engine, affinityKey } = call;
    const keys = [engine?.sessionKey, engine?.parts[0]?.key, affinityKey];
    const warm = this.directory.get(call.warmEndpoint);
    return sampleCandidates(this.directory.ofService(service), {
      keys: keys.filter((key) => key !== undefined),
      warm: warm?.endpoint.service === service ? warm : undefined,
      home: this.home,
      random: this.random,
      isUsable: this.usability(triedIds, nowMs),
    });
  }

  private usability(triedIds: Set<string>, nowMs: number): (view: EndpointView) => boolean {
    return (view) => this.directory.isUsable(view, nowMs) && !triedIds.has(view.endpoint.id);
  }

  /** Returns the current state of the endpoints that are considered for a call. */
  private currentViews(call: CostedCall, triedIds: Set<string>): EndpointView[] {
    const nowMs = this.clock.now();
    return this.candidates(call, triedIds).map((view) => this.currentView(view, nowMs));
  }

  /** Returns a view without an outdated load report and with the wait for a permit. */
  private currentView(view: EndpointView, nowMs: number): EndpointView {
    const permitWaitMs = this.rateLimits.expectedWaitMs(view.endpoint);
    if (nowMs - view.reportedAtMs < MAXIMUM_LOAD_AGE_MS) {
      return permitWaitMs === view.permitWaitMs ? view : { ...view, permitWaitMs };
    }
    const load = { running: view.localRunning, queued: 0, cachedTokens: 0 };
    return { ...view, load, sentSinceReport: 0, permitWaitMs };
  }
}

/** Returns the endpoints that answer and don't fail a part of their calls; all of them if there is none. */
function trustedOf(views: EndpointView[], nowMs: number): EndpointView[] {
  const trusted = views.filter(
    ({ health, silence, work }) =>
      !silence.isSilent(nowMs) && !health.isAvoided(nowMs, work.ownCalls),
  );
  return trusted.length > 0 ? trusted : views;
}

/** Spreads suspected inputs over the endpoints, in the same way in all processes. */
function endpointOfRank(views: EndpointView[], rank: number): Endpoint | undefined {
  const endpoints = views.map(({ endpoint }) => endpoint).sort((a, b) => (a.id < b.id ? -1 : 1));
  return endpoints[rank % endpoints.length];
}

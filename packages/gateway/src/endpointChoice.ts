import {
  chooseEndpoint,
  type ChoiceOptions,
  type ChoiceRequest,
  EndpointDirectory,
  type EndpointView,
  expectedWaitMs,
  shortestWaitMs,
} from '@marjorampin/routing';
import { type Clock, type Endpoint, incarnationKey } from '@marjorampin/types';
import type { AnswerHeaders } from './headerCodec';
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
  service: string;
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
  rateLimits: RateLimits;
  random?: () => number;
}

/** Tracks the load and availability of endpoints and chooses one for each call. */
export class EndpointChoice {
  readonly directory: EndpointDirectory;

  private readonly clock: Clock;

  private readonly domain: string;

  private readonly random: () => number;

  private readonly rateLimits: RateLimits;

  /** Looked up only for the endpoints whose cost is computed. */
  private readonly connectedEndpoints = {
    has: (id: string) => {
      const view = this.directory.get(id);
      return view !== undefined && hasIdleConnection(view.endpoint);
    },
  };

  constructor({ clock, domain, rateLimits, random = Math.random }: EndpointChoiceOptions) {
    this.clock = clock;
    this.domain = domain;
    this.rateLimits = rateLimits;
    this.random = random;
    this.directory = new EndpointDirectory({ clock });
  }

  /** Returns the endpoint with the lowest expected cost, or undefined when none is available. */
  choose(requirements: EndpointRequirements): Endpoint | undefined {
    const { service, warmEndpoint, contextTokens, triedIds, mayReuseConnection, suspectRank } =
      requirements;
    const views = this.currentViews(service, triedIds);
    if (suspectRank !== undefined) return endpointOfRank(views, suspectRank);
    const request: ChoiceRequest = {
      warmEndpoint,
      contextTokens,
      wastedCachePriceMs: 0,
      domain: this.domain,
    };
    if (mayReuseConnection) request.connectedEndpoints = this.connectedEndpoints;
    // With equal costs, a fixed order would send the calls of all entries to the same endpoint.
    return chooseEndpoint(views, request, ENGINE_COSTS, this.random)?.endpoint;
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

  /** Returns the shortest expected wait at any endpoint of a service that may get new calls. */
  shortestWaitMs(service: string): number {
    return shortestWaitMs(this.currentViews(service, NONE_TRIED), ENGINE_COSTS);
  }

  /** Returns whether the expected wait at some endpoint that may get new calls is at most `limitMs`. */
  hasWaitWithin(service: string, limitMs: number): boolean {
    const nowMs = this.clock.now();
    return this.directory
      .ofService(service)
      .some(
        (view) =>
          this.directory.isUsable(view, nowMs) &&
          expectedWaitMs(this.currentView(view, nowMs), ENGINE_COSTS) <= limitMs,
      );
  }

  /** Updates an endpoint's load and availability from the status and headers of an answer. */
  recordAnswer(
    endpoint: Endpoint,
    { load, isNotRun, isLeaving }: AnswerHeaders,
    status: number,
  ): void {
    if (isLeaving) this.directory.markLeaving(endpoint);
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

  /** Returns the endpoints of a service that may get new calls and were not tried. */
  private currentViews(service: string, triedIds: Set<string>): EndpointView[] {
    const nowMs = this.clock.now();
    const views: EndpointView[] = [];
    this.directory.ofService(service).forEach((view) => {
      if (!this.directory.isUsable(view, nowMs) || triedIds.has(view.endpoint.id)) return;
      views.push(this.currentView(view, nowMs));
    });
    return views;
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

/** Spreads suspected inputs over the endpoints, in the same way in all processes. */
function endpointOfRank(views: EndpointView[], rank: number): Endpoint | undefined {
  const endpoints = views.map(({ endpoint }) => endpoint).sort((a, b) => (a.id < b.id ? -1 : 1));
  return endpoints[rank % endpoints.length];
}

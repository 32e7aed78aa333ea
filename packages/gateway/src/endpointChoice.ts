import {
  chooseEndpoint,
  type ChoiceOptions,
  type ChoiceRequest,
  EndpointDirectory,
  type EndpointView,
} from '@marjorampin/routing';
import type { Clock, Endpoint } from '@marjorampin/types';
import type { AnswerTerms } from './dialect';
import { hasIdleConnection } from './endpointExchange';

/** A report of load says nothing about an engine any more after this long: most calls are over. */
const MAXIMUM_LOAD_AGE_MS = 500;
/** Keeps new work away from an endpoint that failed; below the time of its restart. */
const FAILURE_EXCLUSION_MS = 1_000;
/** A load report is this much above the slots when the endpoint refused a call for being full. */
const QUEUED_WHEN_FULL = 4;

/** What a call needs of an endpoint. */
export interface EndpointRequirements {
  service: string;
  /** Endpoint that caches the call's context, if any. */
  warmEndpoint: string;
  /** Tokens that another endpoint has to read first. */
  contextTokens: number;
  /** Endpoints that were tried already. */
  tried: Set<string>;
  /** The call may use a connection that an earlier one has left. */
  mayReuseConnection: boolean;
}

/** Costs of a choice between engines, in milliseconds. */
const ENGINE_COSTS: ChoiceOptions = {
  prefillMsPerToken: 0.02,
  runningCallMs: 8,
  queuedCallMs: 60,
};

/** The endpoints as the gateway sees them, and the choice between them. */
export class EndpointChoice {
  readonly directory: EndpointDirectory;

  private readonly clock: Clock;

  private readonly domain: string;

  private readonly random: () => number;

  constructor({
    clock,
    domain,
    random = Math.random,
  }: {
    clock: Clock;
    domain: string;
    random?: () => number;
  }) {
    this.clock = clock;
    this.domain = domain;
    this.random = random;
    this.directory = new EndpointDirectory({ clock });
  }

  /** Returns the endpoint with the lowest expected cost, or undefined when none can be had. */
  choose(requirements: EndpointRequirements): Endpoint | undefined {
    const { service, warmEndpoint, contextTokens, tried, mayReuseConnection } = requirements;
    const views = this.directory
      .available(service)
      .filter(({ endpoint }) => !tried.has(endpoint.id))
      .map((view) => this.withFreshLoad(view));
    // Equal costs must not send every entry to the same endpoint.
    const shuffled = views
      .map((view) => ({ view, order: this.random() }))
      .sort((a, b) => a.order - b.order)
      .map(({ view }) => view);
    const request: ChoiceRequest = {
      warmEndpoint,
      contextTokens,
      wastedCachePriceMs: 0,
      domain: this.domain,
    };
    if (mayReuseConnection) request.connectedEndpoints = idleConnections(views);
    return chooseEndpoint(shuffled, request, ENGINE_COSTS)?.endpoint;
  }

  /** Learns from the beginning of an answer. */
  recordAnswer(endpoint: Endpoint, { load, isNotRun }: AnswerTerms, status: number): void {
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

  /** Learns that an endpoint failed. */
  recordFailure(endpoint: Endpoint): void {
    this.directory.exclude(endpoint.id, FAILURE_EXCLUSION_MS);
  }

  private withFreshLoad(view: EndpointView): EndpointView {
    if (this.clock.now() - view.reportedAtMs < MAXIMUM_LOAD_AGE_MS) return view;
    const load = { running: view.localRunning, queued: 0, cachedTokens: 0 };
    return { ...view, load, sentSinceReport: 0 };
  }
}

function idleConnections(views: EndpointView[]): Set<string> {
  const endpoints = views.map(({ endpoint }) => endpoint);
  return new Set(endpoints.filter(hasIdleConnection).map(({ id }) => id));
}

import type { Clock, Endpoint } from '@marjorampin/types';
import { compareByPosition, MAXIMUM_CANDIDATES } from './candidateSample';
import { EndpointHealth } from './endpointHealth';
import { EndpointSilence } from './endpointSilence';
import { EndpointWork } from './endpointWork';
import { keyOf } from './preferenceOrder';

/** Load in the latest report of an endpoint: calls running and queued, tokens of cached context. */
export interface ReportedLoad {
  running: number;
  queued: number;
  cachedTokens: number;
}

/** State of one endpoint as this process knows it. */
export interface EndpointView {
  endpoint: Endpoint;
  load: ReportedLoad;
  /** Clock time of the latest load report, or of the registration before the first one. */
  reportedAtMs: number;
  /** Calls that this process has in progress there. */
  localRunning: number;
  /** Calls that this process sent there since the latest report. */
  sentSinceReport: number;
  /** Clock time before which the endpoint gets no new calls. */
  excludedUntilMs: number;
  isLeaving: boolean;
  /** Expected wait in milliseconds until the endpoint's rate limit allows another request. */
  permitWaitMs: number;
  /** Smoothed milliseconds for each output token of this process's calls; 0 until measured. */
  msPerToken: number;
  /** Key of the endpoint's id in the order of preference that all processes share. */
  key: number;
  /** Whether the service has so many endpoints that only a sample is considered for a call. */
  isSampled: boolean;
  /** Work of this incarnation. */
  work: EndpointWork;
  /** Outcomes of this process's calls to this incarnation. */
  health: EndpointHealth;
  /** Calls of this process that this incarnation does not answer. */
  silence: EndpointSilence;
}

const DEFAULT_EXCLUSION_MS = 500;
const NO_LOAD: ReportedLoad = { running: 0, queued: 0, cachedTokens: 0 };
/** Weight of a new measurement in the smoothed milliseconds per token. */
const MS_PER_TOKEN_SMOOTHING = 0.2;

/** Number of leaving endpoints to remember: more than leave within the shutdown time of one. */
const MAXIMUM_LEAVING = 10_000;

/** The registered endpoints with their load, speed and availability as this process knows them. */
export class EndpointDirectory {
  private readonly clock: Clock;

  private readonly views = new Map<string, EndpointView>();

  /** The same views by service. */
  private viewsByService = new Map<string, EndpointView[]>();

  /** Incarnations that announced that they are leaving, by endpoint id. The registration of such an
   * endpoint can disappear and return, for example after an outage of the store. */
  private readonly leavingIncarnations = new Map<string, string>();

  constructor({ clock }: { clock: Clock }) {
    this.clock = clock;
  }

  /** Excludes an endpoint from all new calls until it registers with another incarnation. */
  markLeaving({ id, incarnation }: Endpoint): void {
    this.leavingIncarnations.delete(id);
    this.leavingIncarnations.set(id, incarnation);
    if (this.leavingIncarnations.size > MAXIMUM_LEAVING) this.forgetOldestLeaving();
    const view = this.views.get(id);
    if (view?.endpoint.incarnation === incarnation) view.isLeaving = true;
  }

  /** Replaces the registered endpoints; the state of an endpoint with a new incarnation is reset. */
  update(endpoints: Endpoint[]): void {
    const registeredIds = new Set(endpoints.map(({ id }) => id));
    [...this.views.keys()].forEach((id) => {
      if (!registeredIds.has(id)) this.views.delete(id);
    });
    endpoints.forEach((endpoint) => this.updateEndpoint(endpoint));
    this.viewsByService = viewsByService(this.views.values());
  }

  /** Records a load report. An endpoint that was reported as leaving stays so. */
  report(id: string, load: ReportedLoad, isLeaving: boolean): void {
    const view = this.views.get(id);
    if (!view) return;
    view.load = load;
    view.reportedAtMs = this.clock.now();
    view.sentSinceReport = 0;
    view.isLeaving = view.isLeaving || isLeaving;
  }

  /** Returns the state of one endpoint, undefined if it is not registered. */
  get(id: string): EndpointView | undefined {
    return this.views.get(id);
  }

  /** Returns the endpoints of a service that may get new calls. */
  available(service: string): EndpointView[] {
    const nowMs = this.clock.now();
    return this.ofService(service).filter((view) => this.isUsable(view, nowMs));
  }

  /** Returns whether an endpoint may get new calls: it is neither leaving nor excluded. */
  isUsable({ isLeaving, excludedUntilMs }: EndpointView, nowMs = this.clock.now()): boolean {
    return !isLeaving && excludedUntilMs <= nowMs;
  }

  /** Returns the registered endpoints of a service, in the order of their keys if there are many. */
  ofService(service: string): readonly EndpointView[] {
    return this.viewsByService.get(service) ?? [];
  }

  /** Returns the state of all registered endpoints. */
  all(): EndpointView[] {
    return [...this.views.values()];
  }

  /** Counts a call sent to an endpoint. */
  callStarted(id: string): void {
    const view = this.views.get(id);
    if (!view) return;
    view.localRunning += 1;
    view.sentSinceReport += 1;
  }

  /** Counts the end of a call to an endpoint, whether or not it succeeded. */
  callFinished(id: string): void {
    const view = this.views.get(id);
    if (view) view.localRunning -= 1;
  }

  /** Updates the smoothed milliseconds per output token with those of a finished call. */
  recordMsPerToken(id: string, msPerToken: number): void {
    const view = this.views.get(id);
    if (!view) return;
    const previous = view.msPerToken || msPerToken;
    view.msPerToken = previous + (msPerToken - previous) * MS_PER_TOKEN_SMOOTHING;
  }

  /** Excludes an endpoint that failed from new calls for `durationMs`. */
  exclude(id: string, durationMs = DEFAULT_EXCLUSION_MS): void {
    const view = this.views.get(id);
    if (view) view.excludedUntilMs = this.clock.now() + durationMs;
  }

  private isLeaving({ id, incarnation, state }: Endpoint): boolean {
    return state === 'leaving' || this.leavingIncarnations.get(id) === incarnation;
  }

  private forgetOldestLeaving(): void {
    const [oldest] = this.leavingIncarnations.keys();
    if (oldest !== undefined) this.leavingIncarnations.delete(oldest);
  }

  private updateEndpoint(endpoint: Endpoint): void {
    const known = this.views.get(endpoint.id);
    if (known?.endpoint.incarnation === endpoint.incarnation) {
      known.endpoint = endpoint;
      known.isLeaving = known.isLeaving || this.isLeaving(endpoint);
      return;
    }
    this.views.set(endpoint.id, {
      endpoint,
      load: NO_LOAD,
      reportedAtMs: this.clock.now(),
      localRunning: 0,
      sentSinceReport: 0,
      excludedUntilMs: 0,
      isLeaving: this.isLeaving(endpoint),
      permitWaitMs: 0,
      msPerToken: 0,
      key: keyOf(endpoint.id),
      isSampled: false,
      work: new EndpointWork(),
      health: new EndpointHealth(),
      silence: new EndpointSilence(),
    });
  }
}

function viewsByService(views: Iterable<EndpointView>): Map<string, EndpointView[]> {
  const grouped = new Map<string, EndpointView[]>();
  [...views].forEach((view) => {
    const { service } = view.endpoint;
    const group = grouped.get(service);
    if (group) group.push(view);
    else grouped.set(service, [view]);
  });
  grouped.forEach((group) => {
    const isSampled = group.length > MAXIMUM_CANDIDATES;
    group.forEach((view) => Object.assign(view, { isSampled }));
    if (isSampled) group.sort(compareByPosition);
  });
  return grouped;
}

import type { Clock, Endpoint } from '@marjorampin/types';

/** Load of an endpoint as last reported. */
export interface ReportedLoad {
  running: number;
  queued: number;
  cachedTokens: number;
}

/** What is known about one endpoint. */
export interface EndpointView {
  endpoint: Endpoint;
  load: ReportedLoad;
  reportedAtMs: number;
  /** Calls of this process that are under way there. */
  ownRunning: number;
  /** Calls of this process sent since the last report. */
  sentSinceReport: number;
  /** No new work goes there before this time. */
  excludedUntilMs: number;
  isLeaving: boolean;
  /** Smoothed milliseconds for each output token of own calls. */
  msPerToken: number;
}

const FIRST_EXCLUSION_MS = 500;
const NO_LOAD: ReportedLoad = { running: 0, queued: 0, cachedTokens: 0 };
const SMOOTHING = 0.2;

/** The endpoints that this process knows, with their load. */
export class EndpointDirectory {
  private readonly clock: Clock;

  private readonly views = new Map<string, EndpointView>();

  constructor({ clock }: { clock: Clock }) {
    this.clock = clock;
  }

  /** Takes over the registered endpoints; a new incarnation starts without history. */
  update(endpoints: Endpoint[]): void {
    const present = new Set(endpoints.map(({ id }) => id));
    [...this.views.keys()].forEach((id) => {
      if (!present.has(id)) this.views.delete(id);
    });
    endpoints.forEach((endpoint) => this.updateOne(endpoint));
  }

  /** Takes in a load report. */
  report(id: string, load: ReportedLoad, isLeaving: boolean): void {
    const view = this.views.get(id);
    if (!view) return;
    view.load = load;
    view.reportedAtMs = this.clock.now();
    view.sentSinceReport = 0;
    view.isLeaving = view.isLeaving || isLeaving;
  }

  /** Returns one endpoint. */
  get(id: string): EndpointView | undefined {
    return this.views.get(id);
  }

  /** Returns the endpoints of a service that may get new work. */
  available(service: string): EndpointView[] {
    const now = this.clock.now();
    return [...this.views.values()].filter(
      (view) => view.endpoint.service === service && !view.isLeaving && view.excludedUntilMs <= now,
    );
  }

  /** Returns all endpoints. */
  all(): EndpointView[] {
    return [...this.views.values()];
  }

  /** Counts a call that is sent. */
  started(id: string): void {
    const view = this.views.get(id);
    if (!view) return;
    view.ownRunning += 1;
    view.sentSinceReport += 1;
  }

  /** Counts a call that ended. */
  finished(id: string): void {
    const view = this.views.get(id);
    if (view) view.ownRunning -= 1;
  }

  /** Learns the speed of an endpoint from a finished call. */
  observeSpeed(id: string, msPerToken: number): void {
    const view = this.views.get(id);
    if (!view) return;
    const known = view.msPerToken || msPerToken;
    view.msPerToken = known + (msPerToken - known) * SMOOTHING;
  }

  /** Keeps new work away from an endpoint that failed. */
  exclude(id: string, durationMs = FIRST_EXCLUSION_MS): void {
    const view = this.views.get(id);
    if (view) view.excludedUntilMs = this.clock.now() + durationMs;
  }

  private updateOne(endpoint: Endpoint): void {
    const known = this.views.get(endpoint.id);
    if (known?.endpoint.incarnation === endpoint.incarnation) {
      known.endpoint = endpoint;
      known.isLeaving = known.isLeaving || endpoint.state === 'leaving';
      return;
    }
    this.views.set(endpoint.id, {
      endpoint,
      load: NO_LOAD,
      reportedAtMs: this.clock.now(),
      ownRunning: 0,
      sentSinceReport: 0,
      excludedUntilMs: 0,
      isLeaving: endpoint.state === 'leaving',
      msPerToken: 0,
    });
  }
}

import type { Clock } from '@marjorampin/types';
import { CachedParts } from './cachedParts';
import { accessMs, cheapestOf, type ChoiceRequest } from './chooseEndpoint';
import type { EndpointView } from './endpointDirectory';
import { type EngineCall, EngineCosts, type EngineCostRules, totalMs } from './engineCosts';
import type { WorkReport } from './endpointWork';
import { keyOf, preferredOf } from './preferenceOrder';
import type { Route, RoutedService } from './route';
import { TrackedCall } from './trackedCall';
import { ServiceCosts } from './serviceCosts';

/** Advantage of the preferred endpoint of an affinity key until the time that it saves is known: less
 * than that of an endpoint with one running call fewer. */
const UNKNOWN_SAVING_MS = 4;
/** Longest duration of a plain call that counts: a slow host is avoided like one with about one queued
 * call more, as the costs of waiting there are on that scale. */
const MAXIMUM_PLAIN_WORK_MS = 40;
/** Share of the expected output that a call may turn out to have, so that it is not refused because of
 * a wrong expectation. */
const SHORTEST_OUTPUT_SHARE = 0.5;

/** What the headers of a call state about its cost. */
export interface StatedCost {
  promptTokens: number;
  maximumTokens: number;
  expectedTokens?: number | undefined;
  promptParts?: readonly { id: string; tokens: number }[] | undefined;
  affinityKey?: string | undefined;
  /** Id of the call's session; empty if it belongs to none. */
  session: string;
  /** Id of the endpoint that served the turn before; empty if there is none or it is not known. */
  warmEndpoint: string;
}

/** A call whose cost is computed. */
export interface CostedCall {
  service: string;
  route: string;
  /** Undefined if the call states no tokens or its service is no engine of known size. */
  engine: EngineCall | undefined;
  /** Key of the object that the call concerns; undefined if its route does not use it. */
  affinityKey: number | undefined;
  /** Id of the endpoint that served the turn before; empty if there is none or it is not known. */
  warmEndpoint: string;
}

/** Options of `RequestCosts`. */
export interface RequestCostsOptions {
  clock: Clock;
  random?: () => number;
  rules?: EngineCostRules | undefined;
  /** Whether costs decide at all services; by default, only at those whose endpoints state how fast their hosts
   * are. */
  usesCosts?: boolean | undefined;
}

/** A configured service and what was learned about it. */
interface KnownService {
  configured: RoutedService;
  costs: ServiceCosts;
  engine: EngineCosts | undefined;
  /** Whether an endpoint has stated how fast its host is. */
  statesSpeed: boolean;
}

/** Expected costs of calls at the endpoints of all services, learned from the calls that were sent. */
export class RequestCosts {
  private readonly clock: Clock;

  private readonly random: () => number;

  private readonly rules: EngineCostRules;

  private readonly usesCosts: boolean;

  private readonly parts = new CachedParts();

  private services = new Map<string, KnownService>();

  constructor({ clock, random = Math.random, rules = {}, usesCosts = false }: RequestCostsOptions) {
    this.usesCosts = usesCosts;
    this.clock = clock;
    this.random = random;
    this.rules = rules;
  }

  /** Replaces the services; keeps what was learned about those that stay the same. */
  configure(services: readonly RoutedService[]): void {
    this.services = new Map(services.map((service) => [service.name, this.serviceOf(service)]));
  }

  /** Number of prompt parts that endpoints are known to have cached. */
  get knownParts(): number {
    return this.parts.size;
  }

  /** Returns the properties of a call from which its costs follow. */
  describe(service: string, route: Route, stated: StatedCost): CostedCall {
    const { affinityKey } = stated;
    const hasEngine = this.services.get(service)?.engine !== undefined;
    const usesAffinity = route.isSticky && affinityKey !== undefined;
    return {
      service,
      route: route.name,
      // Where costs don't decide, they are not computed.
      engine: this.decidesAt(service) && hasEngine ? engineCallOf(stated) : undefined,
      affinityKey: usesAffinity ? keyOf(affinityKey) : undefined,
      warmEndpoint: stated.warmEndpoint,
    };
  }

  /** Returns whether costs decide where the calls of a service go: their host speeds differ, or callers compete for
   * too few endpoints. Others are chosen by the numbers of their calls alone. */
  decidesAt(service: string): boolean {
    return this.usesCosts || this.services.get(service)?.statesSpeed === true;
  }

  /** Returns whether the expected cost of a call is known and decides. */
  isKnown({ service, engine }: CostedCall): boolean {
    if (engine === undefined || !this.decidesAt(service)) return false;
    return this.services.get(service)?.engine?.isLearned === true;
  }

  /** Returns an endpoint at which a call is expected to finish early; undefined without endpoints. */
  chooseEngine(
    views: readonly EndpointView[],
    { service, engine: call }: CostedCall,
    request: ChoiceRequest,
  ): EndpointView | undefined {
    const engine = this.services.get(service)?.engine;
    if (!engine || !call) return undefined;
    const caches = engine.expectedCaches(views, call);
    const nowMs = this.clock.now();
    const options = views.map((view, index) => {
      const cost = engine.expectedCost(view, call, { cachedTokens: caches[index] ?? 0, nowMs });
      const costMs = totalMs(cost) + view.permitWaitMs + accessMs(view, request);
      return { view, costMs, cachedTokens: caches[index] ?? 0 };
    });
    const considered = engine.considered(options, this.random);
    return cheapestOf(considered, ({ costMs }) => costMs, this.random)?.view;
  }

  /** Returns the time within which a call can be finished at an endpoint at best. */
  earliestFinishMs(view: EndpointView, { service, engine: call }: CostedCall): number {
    const engine = this.services.get(service)?.engine;
    if (!engine || !call) return 0;
    const cachedTokens = engine.knownCachedTokens(view, call);
    const nowMs = this.clock.now();
    const cost = engine.expectedCost(view, call, { cachedTokens, nowMs });
    const outputMs = cost.outputMs * SHORTEST_OUTPUT_SHARE;
    return view.permitWaitMs + (cost.waitMs + cost.prefillMs + outputMs) * cost.speed;
  }

  /** Returns the expected wait of a call for a slot at an endpoint. */
  slotWaitMs(view: EndpointView, { service, engine: call }: CostedCall): number {
    const engine = this.services.get(service)?.engine;
    if (!engine || !call) return 0;
    const nowMs = this.clock.now();
    const { waitMs, speed } = engine.expectedCost(view, call, { cachedTokens: 0, nowMs });
    return waitMs * speed;
  }

  /** Returns a function for the costs of a call at endpoints of plain services: those of slow hosts, and
   * those of endpoints that its affinity key does not prefer. */
  plainCosts(
    views: readonly EndpointView[],
    { service, route, affinityKey, engine }: CostedCall,
  ): (view: EndpointView) => number {
    const known = this.services.get(service);
    const decides = this.decidesAt(service);
    if (!known || engine || (!decides && affinityKey === undefined)) return () => 0;
    const nowMs = this.clock.now();
    const workMs = Math.min(MAXIMUM_PLAIN_WORK_MS, known.costs.routeMs(route));
    const preferred = affinityKey === undefined ? undefined : preferredOf(views, affinityKey);
    const savingMs = known.costs.affinitySavingMs(route) ?? UNKNOWN_SAVING_MS;
    return (view) =>
      (decides ? workMs * view.work.speedAt(nowMs) : 0) +
      (preferred !== undefined && view !== preferred ? savingMs : 0);
  }

  /** Counts a call that is sent to an endpoint; `candidates` returns all that may have been chosen. */
  begin(
    view: EndpointView,
    call: CostedCall,
    candidates: () => readonly EndpointView[],
  ): TrackedCall {
    const { clock } = this;
    const known = this.services.get(call.service);
    if (!known) return new TrackedCall({ view, clock });
    if (!known.engine || !call.engine) {
      const { affinityKey, route } = call;
      const isReturning =
        affinityKey === undefined ? undefined : preferredOf(candidates(), affinityKey) === view;
      const isPlain = known.configured.engine === undefined;
      const plain = isPlain ? { costs: known.costs, route, isReturning } : undefined;
      return new TrackedCall({ view, clock, plain });
    }
    const costs = known.engine;
    const cachedTokens = costs.knownCachedTokens(view, call.engine);
    const nowMs = clock.now();
    const cost = costs.expectedCost(view, call.engine, { cachedTokens, nowMs });
    return new TrackedCall({ view, clock, engine: { costs, call: call.engine, cost } });
  }

  /** Records the load that an endpoint reported. */
  report(view: EndpointView, report: WorkReport): void {
    const others = view.work.report(report, this.clock.now());
    const known = this.services.get(view.endpoint.service);
    if (!known) return;
    if (report.slowdown === undefined && !this.decidesAt(view.endpoint.service)) return;
    known.costs.recordOthers(others);
    if (report.slowdown !== undefined) known.statesSpeed = true;
  }

  /** Records that an endpoint refused a call because it was full; `queued` calls are assumed to wait. */
  reportFull(view: EndpointView, queued: number): void {
    const slots = this.services.get(view.endpoint.service)?.engine?.slotsOf(view) ?? 0;
    const calls = (Number.isFinite(slots) ? slots : 0) + queued;
    this.report(view, { calls, slots: 0, slowdown: undefined });
  }

  private serviceOf(configured: RoutedService): KnownService {
    const known = this.services.get(configured.name);
    if (known && isSameEngine(known.configured, configured)) return known;
    const costs = new ServiceCosts();
    const { parts, rules } = this;
    const { engine: traits } = configured;
    const engine =
      traits?.slots === undefined ? undefined : new EngineCosts({ traits, costs, parts, rules });
    return { configured, costs, engine, statesSpeed: false };
  }
}

function engineCallOf({
  promptTokens,
  maximumTokens,
  expectedTokens,
  promptParts = [],
  session,
  warmEndpoint,
}: StatedCost): EngineCall | undefined {
  if (promptTokens === 0) return undefined;
  const parts = promptParts.map(({ id, tokens }) => ({ key: keyOf(id), tokens }));
  return {
    promptTokens,
    outputTokens: Math.min(expectedTokens ?? maximumTokens, maximumTokens),
    parts,
    sessionKey: session === '' ? undefined : keyOf(session),
    warmEndpoint,
  };
}

function isSameEngine({ engine: a }: RoutedService, { engine: b }: RoutedService): boolean {
  return (
    a?.slots === b?.slots &&
    a?.memoryTokens === b?.memoryTokens &&
    a?.tokensPerEvent === b?.tokensPerEvent
  );
}

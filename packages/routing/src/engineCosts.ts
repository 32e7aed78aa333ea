import type { CachedParts, KeyedPart } from './cachedParts';
import type { EndpointView } from './endpointDirectory';
import { preferredOf } from './preferenceOrder';
import type { EngineTraits } from './route';
import type { ServiceCosts } from './serviceCosts';

/** Share of the endpoints, and their lowest number, of which one is chosen besides those that have most
 * of the prompt cached. */
const CONSIDERED_SHARE = 0.3;
const MINIMUM_CONSIDERED = 3;
/** Variation of the tokens that running calls take up, as a share of the expected ones. */
const MEMORY_VARIATION = 0.2;

/** Properties of a call from which its cost at an engine follows. */
export interface EngineCall {
  promptTokens: number;
  /** Expected number of output tokens. */
  outputTokens: number;
  /** Parts of the prompt, in order. */
  parts: readonly KeyedPart[];
  /** Key that the call has in common with the other turns of its session; undefined if there is none. */
  sessionKey: number | undefined;
  /** Id of the endpoint that served the turn before; empty if there is none or it is not known. */
  warmEndpoint: string;
}

/** Expected cost of a call at an endpoint, in milliseconds. */
export interface EngineCost {
  /** Wait for a slot. */
  waitMs: number;
  /** Processing of the prompt, with the time by which it delays the other running calls. */
  prefillMs: number;
  outputMs: number;
  /** Time that is lost if the endpoint's memory does not hold the call besides the running ones. */
  memoryMs: number;
  /** Duration of work at the endpoint as a multiple of the usual one. */
  speed: number;
  uncachedTokens: number;
}

/** An endpoint that may be chosen for a call. */
export interface EndpointOption {
  /** Prompt tokens that it is expected to have cached. */
  cachedTokens: number;
}

/** Switches with which an ablation disables single rules. */
export interface EngineCostRules {
  usesWork?: boolean;
  usesSample?: boolean;
  usesCachedParts?: boolean;
  usesPreference?: boolean;
  usesMemory?: boolean;
  usesSpeed?: boolean;
  usesInterference?: boolean;
}

/** Options of `EngineCosts`. */
export interface EngineCostsOptions {
  traits: EngineTraits;
  costs: ServiceCosts;
  parts: CachedParts;
  rules?: EngineCostRules;
}

/** Computes the expected cost of calls at the engines of one service. */
export class EngineCosts {
  readonly costs: ServiceCosts;

  readonly traits: EngineTraits;

  private readonly parts: CachedParts;

  private readonly rules: Required<EngineCostRules>;

  constructor({ traits, costs, parts, rules = {} }: EngineCostsOptions) {
    this.traits = traits;
    this.costs = costs;
    this.parts = parts;
    this.rules = {
      usesWork: true,
      usesSample: true,
      usesCachedParts: true,
      usesPreference: true,
      usesMemory: true,
      usesSpeed: true,
      usesInterference: true,
      ...rules,
    };
  }

  /** Whether costs can be computed: enough calls were measured. */
  get isLearned(): boolean {
    return this.costs.isLearned;
  }

  /** Returns the tokens of a call's prompt that an endpoint has cached as far as this process knows. */
  knownCachedTokens({ endpoint, work }: EndpointView, call: EngineCall): number {
    if (endpoint.id === call.warmEndpoint) return call.promptTokens;
    const cached = this.rules.usesCachedParts ? this.parts.cachedTokens(work, call.parts) : 0;
    return Math.min(call.promptTokens, cached);
  }

  /** Returns, for each endpoint, the prompt tokens that it is expected to have cached. */
  expectedCaches(views: readonly EndpointView[], call: EngineCall): number[] {
    const known = views.map((view) => this.knownCachedTokens(view, call));
    return this.rules.usesPreference ? withPreferences(views, call, known) : known;
  }

  /**
   * Returns the endpoints of which one is chosen: those that have most of the prompt cached, and random
   * ones. Answers entries that see the same reports: if each of them chose among all endpoints, their
   * calls would meet at the one that was idle when it reported.
   */
  considered<T extends EndpointOption>(options: readonly T[], random: () => number): readonly T[] {
    if (!this.rules.usesSample || options.length <= MINIMUM_CONSIDERED) return options;
    const most = Math.max(...options.map(({ cachedTokens }) => cachedTokens));
    const considered = new Set(
      options.filter(({ cachedTokens }) => cachedTokens > 0 && cachedTokens === most),
    );
    const draws = Math.max(MINIMUM_CONSIDERED, Math.round(options.length * CONSIDERED_SHARE));
    for (let count = 0; count < draws; count += 1) {
      const drawn = options[Math.floor(random() * options.length)];
      if (drawn) considered.add(drawn);
    }
    return [...considered];
  }

  /** Returns the expected cost of a call at an endpoint that has `cachedTokens` of its prompt cached. */
  expectedCost(
    view: EndpointView,
    call: EngineCall,
    { cachedTokens, nowMs }: { cachedTokens: number; nowMs: number },
  ): EngineCost {
    const { costs, rules } = this;
    const { work } = view;
    const slots = this.slotsOf(view);
    const others = this.otherCalls(view, nowMs);
    const occupied = work.ownCalls + others;
    const runningBesides = Math.min(slots - 1, occupied);
    const uncachedTokens = Math.max(0, call.promptTokens - cachedTokens);
    const delayedCalls = 1 + (rules.usesInterference ? runningBesides : 0);
    const remainingMs =
      occupied > 0 ? (work.ownRemainingMs(nowMs) + others * costs.callMs) / occupied : 0;
    const waiting = Math.max(0, occupied + 1 - slots);
    const prefillMs = uncachedTokens * costs.msPerPromptToken * delayedCalls;
    return {
      waitMs: rules.usesWork ? (waiting * remainingMs) / slots : 0,
      prefillMs,
      outputMs: call.outputTokens * costs.msPerOutputToken(1 + runningBesides),
      memoryMs: rules.usesMemory
        ? this.memoryMs(call, this.usedTokens(view, others), { runningBesides, remainingMs })
        : 0,
      speed: rules.usesSpeed ? work.speedAt(nowMs) : 1,
      uncachedTokens,
    };
  }

  /** Records that an endpoint has processed a call's prompt. */
  recordPrompt({ work }: EndpointView, call: EngineCall): void {
    this.parts.record(work, call.parts, this.traits.memoryTokens ?? Infinity);
  }

  /** Returns the number of calls that an endpoint runs at once. */
  slotsOf({ work }: EndpointView): number {
    return this.traits.slots ?? work.slots ?? Infinity;
  }

  private otherCalls({ work }: EndpointView, nowMs: number): number {
    const { callMs, otherCalls } = this.costs;
    return work.otherCalls(work.reportValidity(nowMs, callMs), otherCalls);
  }

  private usedTokens({ work }: EndpointView, others: number): number {
    return work.ownTokens + others * this.costs.callTokens;
  }

  /**
   * Returns the expected time lost to a preemption: the engine processes the prompt again once another
   * call has ended. The more the running calls and this one exceed the memory, the likelier it is.
   */
  private memoryMs(
    { promptTokens, outputTokens }: EngineCall,
    usedTokens: number,
    { runningBesides, remainingMs }: { runningBesides: number; remainingMs: number },
  ): number {
    const { costs, traits } = this;
    if (traits.memoryTokens === undefined || runningBesides <= 0) return 0;
    const tokens = usedTokens + promptTokens + outputTokens;
    const excess = (tokens - traits.memoryTokens) / (tokens * MEMORY_VARIATION);
    const probability = 1 / (1 + Math.exp(-excess));
    const repeatedMs = promptTokens * costs.msPerPromptToken * (1 + runningBesides);
    return probability * (repeatedMs + remainingMs);
  }
}

/** Returns the whole expected time of a call at an endpoint, in milliseconds. */
export function totalMs({ waitMs, prefillMs, outputMs, memoryMs, speed }: EngineCost): number {
  return (waitMs + prefillMs + outputMs + memoryMs) * speed;
}

/**
 * Adds the parts that no endpoint is known to have cached to the one that all entries prefer for them.
 * Answers programs whose turns reach different entries: the entry of the next turn expects the context
 * where this one brought it.
 */
function withPreferences(
  views: readonly EndpointView[],
  { parts, promptTokens, sessionKey }: EngineCall,
  known: readonly number[],
): number[] {
  const cached = [...known];
  const [head] = parts;
  const headTokens = parts.length > 1 && head ? head.tokens : 0;
  const most = Math.max(0, ...known);
  const add = (key: number, tokens: number) => {
    const preferred = preferredOf(views, key);
    const index = preferred ? views.indexOf(preferred) : 0;
    cached[index] = Math.min(promptTokens, (cached[index] ?? 0) + tokens);
  };
  if (head && headTokens > 0 && most === 0) add(head.key, headTokens);
  if (sessionKey !== undefined && most <= headTokens) add(sessionKey, promptTokens - headTokens);
  return cached;
}

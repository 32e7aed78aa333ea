import { createHash } from 'node:crypto';
import { type Clock, estimateTokens } from '@marjorampin/types';
import { type PinnedPrompt, PrefixCache } from './prefixCache';

/** Texts of the generated tokens; each has `CHARACTERS_PER_TOKEN` characters (`estimateTokens`). */
const TOKEN_TEXTS = ['cap ', 'gill', 'ring', 'stem', 'pore', 'veil', 'root', 'moss'];

/** Maximum time to prefill one chunk, in decoding steps. */
const MAXIMUM_CHUNK_STEPS = 4;

/** Options of `SimulatedEngine`. */
export interface SimulatedEngineOptions {
  clock: Clock;
  /** Prompt tokens that the engine computes in a millisecond. */
  prefillTokensPerMs?: number;
  /** Duration of one decoding step, in which each running sequence generates one token. */
  decodeStepMs?: number;
  /** Maximum number of running sequences. */
  batchSize?: number;
  /** Capacity of the prefix cache. */
  cacheTokens?: number;
  /** Additional duration of a step for each running sequence. */
  stepMsPerSequence?: number;
  /** Whether the newest of the least urgent sequences is preempted if their prompts exceed the cache. */
  preempts?: boolean;
}

/** Parameters of one call to an engine. */
export interface GenerationRequest {
  /** Id of the call. */
  request: string;
  program: string;
  /** Prompt of the call. */
  context: string;
  /** Text that was generated before an interruption; generation continues after it. */
  resumeText: string;
  /** Limit of the output tokens, including those of `resumeText`. */
  maximumTokens: number;
  /** Lower values are served first. */
  priority: number;
  /** Receives each generated token. */
  onText(text: string): void;
}

/** Text and token counts of a finished call. */
export interface GenerationResult {
  /** The whole text, including `resumeText`. */
  text: string;
  inputTokens: number;
  /** Input tokens that were found in the prefix cache. */
  cachedTokens: number;
  /** Input tokens that had been cached, were evicted and had to be computed again. */
  rebuiltTokens: number;
  outputTokens: number;
}

/** Totals since the engine started. */
export interface EngineTotals {
  /** Prompt tokens that were computed, as they were not cached. */
  builtTokens: number;
  /** The part of `builtTokens` that had been cached before and was evicted. */
  rebuiltTokens: number;
  outputTokens: number;
  /** Number of finished calls. */
  finished: number;
  preemptions: number;
}

interface Sequence {
  generation: GenerationRequest;
  arrivalNumber: number;
  /** Undefined while the sequence is queued. */
  pinnedPrompt: PinnedPrompt | undefined;
  remainingPrefillTokens: number;
  /** Digest of the context, which determines the generated tokens. */
  seed: Buffer;
  text: string;
  /** Output tokens so far, including those of `resumeText`. */
  outputTokens: number;
  cancelled: boolean;
  wasPreempted: boolean;
  /** Ends the call with its result, or with undefined after a cancellation. */
  resolve(result: GenerationResult | undefined): void;
}

/** Faults that can be injected into an engine. */
export interface EngineFaults {
  /** Multiplies the duration of every step. */
  slowdown: number;
  /** Calls are accepted but generate no tokens. */
  hang: boolean;
}

/** Simulates a model engine with continuous batching, priorities and a prefix cache. */
export class SimulatedEngine {
  readonly faults: EngineFaults = { slowdown: 1, hang: false };

  readonly totals: EngineTotals = {
    builtTokens: 0,
    rebuiltTokens: 0,
    outputTokens: 0,
    finished: 0,
    preemptions: 0,
  };

  readonly cache: PrefixCache;

  private readonly clock: Clock;

  private readonly prefillTokensPerMs: number;

  private readonly decodeStepMs: number;

  private readonly batchSize: number;

  private readonly stepMsPerSequence: number;

  private readonly preempts: boolean;

  private readonly cacheTokens: number;

  private queued: Sequence[] = [];

  private running: Sequence[] = [];

  private isStepping = false;

  private arrivals = 0;

  constructor({
    clock,
    prefillTokensPerMs = 8,
    decodeStepMs = 10,
    batchSize = 16,
    cacheTokens = 200_000,
    stepMsPerSequence = 0,
    preempts = false,
  }: SimulatedEngineOptions) {
    this.clock = clock;
    this.prefillTokensPerMs = prefillTokensPerMs;
    this.decodeStepMs = decodeStepMs;
    this.batchSize = batchSize;
    this.stepMsPerSequence = stepMsPerSequence;
    this.preempts = preempts;
    this.cacheTokens = cacheTokens;
    this.cache = new PrefixCache({ capacityTokens: cacheTokens });
  }

  get runningCount(): number {
    return this.running.length;
  }

  get queuedCount(): number {
    return this.queued.length;
  }

  /** Context tokens of the queued calls. */
  get queuedTokens(): number {
    return this.queued.reduce((sum, { generation }) => sum + estimateTokens(generation.context), 0);
  }

  /** Runs a call; resolves with its result, or with undefined after a cancellation. */
  generate(generation: GenerationRequest): Promise<GenerationResult | undefined> {
    return new Promise((resolve) => {
      this.arrivals += 1;
      this.queued.push({
        generation,
        arrivalNumber: this.arrivals,
        pinnedPrompt: undefined,
        remainingPrefillTokens: 0,
        seed: createHash('sha256').update(generation.context).digest(),
        text: generation.resumeText,
        outputTokens: estimateTokens(generation.resumeText),
        cancelled: false,
        wasPreempted: false,
        resolve,
      });
      this.startStepping();
    });
  }

  /** Cancels the call with this id before the next step. */
  cancel(request: string): void {
    [...this.queued, ...this.running]
      .filter(({ generation }) => generation.request === request)
      .forEach((sequence) => {
        const target = sequence;
        target.cancelled = true;
      });
    this.startStepping();
  }

  private startStepping(): void {
    if (this.isStepping) return;
    this.isStepping = true;
    this.runSteps();
  }

  private async runSteps(): Promise<void> {
    while (this.queued.length > 0 || this.running.length > 0) {
      this.removeCancelled();
      this.admitQueued();
      if (this.preempts) this.preemptExcess();
      const decodeMs = this.decodeStepMs + this.stepMsPerSequence * this.running.length;
      const stepMs = this.prefillStep() + decodeMs;
      await this.clock.sleep(stepMs * this.faults.slowdown);
      if (!this.faults.hang) this.decodeStep();
    }
    this.isStepping = false;
  }

  private removeCancelled(): void {
    const isCancelled = ({ cancelled }: Sequence) => cancelled;
    const cancelledSequences = [...this.queued, ...this.running].filter(isCancelled);
    this.queued = this.queued.filter((sequence) => !isCancelled(sequence));
    this.running = this.running.filter((sequence) => !isCancelled(sequence));
    cancelledSequences.forEach((sequence) => {
      this.cache.unpin(sequence.pinnedPrompt?.digests ?? []);
      sequence.resolve(undefined);
    });
  }

  private admitQueued(): void {
    this.queued.sort(
      (a, b) => a.generation.priority - b.generation.priority || a.arrivalNumber - b.arrivalNumber,
    );
    while (this.running.length < this.batchSize && this.queued.length > 0) {
      const [next] = this.queued;
      if (!next || (next.wasPreempted && !this.hasRoomFor(next))) return;
      this.queued.shift();
      const sequence = next;
      const { program, context, resumeText } = sequence.generation;
      const pinned = this.cache.pinPrompt(program, context + resumeText);
      sequence.pinnedPrompt = pinned;
      sequence.remainingPrefillTokens = pinned.builtTokens;
      this.totals.builtTokens += pinned.builtTokens;
      this.totals.rebuiltTokens += pinned.rebuiltTokens;
      this.running.push(sequence);
    }
  }

  /** Returns whether the running prompts and one that was preempted fit into the cache. */
  private hasRoomFor({ generation }: Sequence): boolean {
    if (this.running.length === 0) return true;
    const tokens = this.running.reduce(
      (sum, running) => sum + estimateTokens(running.generation.context),
      estimateTokens(generation.context),
    );
    return tokens <= this.cacheTokens;
  }

  /** Preempts the newest of the least urgent sequences until the other prompts fit into the cache. */
  private preemptExcess(): void {
    while (this.cache.excessTokens > 0 && this.running.length > 1) {
      this.running.sort(
        (a, b) =>
          a.generation.priority - b.generation.priority || a.arrivalNumber - b.arrivalNumber,
      );
      const preempted = this.running.pop();
      if (!preempted) return;
      this.cache.unpin(preempted.pinnedPrompt?.digests ?? []);
      preempted.pinnedPrompt = undefined;
      preempted.wasPreempted = true;
      this.totals.preemptions += 1;
      this.queued.push(preempted);
    }
  }

  /**
   * Prefills the next chunk of the running prompts and returns the time that it takes. A chunk takes
   * no longer than `MAXIMUM_CHUNK_STEPS` decoding steps.
   */
  private prefillStep(): number {
    let remainingChunkTokens = this.prefillTokensPerMs * this.decodeStepMs * MAXIMUM_CHUNK_STEPS;
    const chunkTokens = remainingChunkTokens;
    this.running.forEach((sequence) => {
      const prefilled = Math.min(sequence.remainingPrefillTokens, remainingChunkTokens);
      const current = sequence;
      current.remainingPrefillTokens -= prefilled;
      remainingChunkTokens -= prefilled;
    });
    return (chunkTokens - remainingChunkTokens) / this.prefillTokensPerMs;
  }

  private decodeStep(): void {
    const prefilled = this.running.filter(
      ({ remainingPrefillTokens }) => remainingPrefillTokens <= 0,
    );
    prefilled.forEach((sequence) => this.decodeToken(sequence));
  }

  private decodeToken(sequence: Sequence): void {
    const { generation } = sequence;
    const current = sequence;
    if (current.outputTokens < generation.maximumTokens) {
      const token =
        TOKEN_TEXTS[(current.seed[current.outputTokens % 32] ?? 0) % TOKEN_TEXTS.length] ?? '';
      current.outputTokens += 1;
      current.text += token;
      this.totals.outputTokens += 1;
      generation.onText(token);
    }
    if (current.outputTokens >= generation.maximumTokens) this.finish(current);
  }

  private finish(sequence: Sequence): void {
    const { generation, pinnedPrompt, text } = sequence;
    this.running = this.running.filter((other) => other !== sequence);
    this.cache.unpin(pinnedPrompt?.digests ?? []);
    // The generated text is already computed and part of the next turn's context, so cache it too.
    this.cache.unpin(this.cache.pinPrompt(generation.program, generation.context + text).digests);
    this.totals.finished += 1;
    sequence.resolve({
      text,
      inputTokens: estimateTokens(generation.context),
      cachedTokens: pinnedPrompt?.cachedTokens ?? 0,
      rebuiltTokens: pinnedPrompt?.rebuiltTokens ?? 0,
      outputTokens: sequence.outputTokens,
    });
  }
}

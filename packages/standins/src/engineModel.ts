import { createHash } from 'node:crypto';
import { type Clock, countTokens } from '@marjorampin/types';
import { type Admission, PrefixCache } from './prefixCache';

const WORDS = ['cap ', 'gill', 'ring', 'stem', 'pore', 'veil', 'root', 'moss'];

/** Speed and size of a model engine. */
export interface EngineModelOptions {
  clock: Clock;
  prefillTokensPerMs?: number;
  /** Duration of one decoding step. */
  decodeStepMs?: number;
  /** Largest number of sequences in a step. */
  batchSize?: number;
  cacheTokens?: number;
}

/** One call to an engine. */
export interface GenerationRequest {
  request: string;
  program: string;
  context: string;
  /** Text that was generated before a break; generation goes on behind it. */
  resumeText: string;
  maximumTokens: number;
  /** Lower goes first. */
  priority: number;
  onText(text: string): void;
}

/** Token counts of a finished call. */
export interface GenerationResult {
  text: string;
  inputTokens: number;
  cachedTokens: number;
  rebuiltTokens: number;
  outputTokens: number;
}

/** Totals since the start. */
export interface EngineTotals {
  builtTokens: number;
  rebuiltTokens: number;
  outputTokens: number;
  finished: number;
}

interface Sequence {
  generation: GenerationRequest;
  order: number;
  admission: Admission | undefined;
  prefillLeft: number;
  seed: Buffer;
  text: string;
  position: number;
  cancelled: boolean;
  settle(result: GenerationResult | undefined): void;
}

/** Switches for an engine's failures. */
export interface EngineFaults {
  /** Multiplies the duration of every step. */
  slowdown: number;
  /** Accepts calls but never makes progress. */
  hang: boolean;
}

/** A model engine with continuous batching, priorities and a prefix cache. */
export class EngineModel {
  readonly faults: EngineFaults = { slowdown: 1, hang: false };

  readonly totals: EngineTotals = {
    builtTokens: 0,
    rebuiltTokens: 0,
    outputTokens: 0,
    finished: 0,
  };

  readonly cache: PrefixCache;

  private readonly clock: Clock;

  private readonly prefillTokensPerMs: number;

  private readonly decodeStepMs: number;

  private readonly batchSize: number;

  private waiting: Sequence[] = [];

  private running: Sequence[] = [];

  private isStepping = false;

  private arrivals = 0;

  constructor({
    clock,
    prefillTokensPerMs = 8,
    decodeStepMs = 10,
    batchSize = 16,
    cacheTokens = 200_000,
  }: EngineModelOptions) {
    this.clock = clock;
    this.prefillTokensPerMs = prefillTokensPerMs;
    this.decodeStepMs = decodeStepMs;
    this.batchSize = batchSize;
    this.cache = new PrefixCache({ capacityTokens: cacheTokens });
  }

  get runningCount(): number {
    return this.running.length;
  }

  get queuedCount(): number {
    return this.waiting.length;
  }

  /** Tokens of prompts that still wait to be built, for the load report. */
  get queuedTokens(): number {
    return this.waiting.reduce((sum, { generation }) => sum + countTokens(generation.context), 0);
  }

  /** Runs one call to its end; resolves with undefined when it was cancelled. */
  generate(generation: GenerationRequest): Promise<GenerationResult | undefined> {
    return new Promise((settle) => {
      this.arrivals += 1;
      this.waiting.push({
        generation,
        order: this.arrivals,
        admission: undefined,
        prefillLeft: 0,
        seed: createHash('sha256').update(generation.context).digest(),
        text: generation.resumeText,
        position: countTokens(generation.resumeText),
        cancelled: false,
        settle,
      });
      this.start();
    });
  }

  /** Ends a call early. */
  cancel(request: string): void {
    [...this.waiting, ...this.running]
      .filter(({ generation }) => generation.request === request)
      .forEach((sequence) => {
        const cancelled = sequence;
        cancelled.cancelled = true;
      });
    this.start();
  }

  private start(): void {
    if (this.isStepping) return;
    this.isStepping = true;
    this.run();
  }

  private async run(): Promise<void> {
    while (this.waiting.length > 0 || this.running.length > 0) {
      this.dropCancelled();
      this.admitWaiting();
      const stepMs = this.prefillStep() + this.decodeStepMs;
      await this.clock.sleep(stepMs * this.faults.slowdown);
      if (!this.faults.hang) this.decodeStep();
    }
    this.isStepping = false;
  }

  private dropCancelled(): void {
    const isCancelled = ({ cancelled }: Sequence) => cancelled;
    const gone = [...this.waiting, ...this.running].filter(isCancelled);
    this.waiting = this.waiting.filter((sequence) => !isCancelled(sequence));
    this.running = this.running.filter((sequence) => !isCancelled(sequence));
    gone.forEach((sequence) => {
      this.cache.unpin(sequence.admission?.digests ?? []);
      sequence.settle(undefined);
    });
  }

  private admitWaiting(): void {
    this.waiting.sort((a, b) => a.generation.priority - b.generation.priority || a.order - b.order);
    while (this.running.length < this.batchSize && this.waiting.length > 0) {
      const sequence = this.waiting.shift();
      if (!sequence) return;
      const { program, context, resumeText } = sequence.generation;
      const admission = this.cache.admit(program, context + resumeText);
      sequence.admission = admission;
      sequence.prefillLeft = admission.builtTokens;
      this.totals.builtTokens += admission.builtTokens;
      this.totals.rebuiltTokens += admission.rebuiltTokens;
      this.running.push(sequence);
    }
  }

  /** Builds a chunk of the waiting prompts and returns the time that it takes. */
  private prefillStep(): number {
    let budget = this.prefillTokensPerMs * this.decodeStepMs * 4;
    const before = budget;
    this.running.forEach((sequence) => {
      const built = Math.min(sequence.prefillLeft, budget);
      const filling = sequence;
      filling.prefillLeft -= built;
      budget -= built;
    });
    return (before - budget) / this.prefillTokensPerMs;
  }

  private decodeStep(): void {
    const ready = this.running.filter(({ prefillLeft }) => prefillLeft <= 0);
    ready.forEach((sequence) => this.decodeToken(sequence));
  }

  private decodeToken(sequence: Sequence): void {
    const { generation } = sequence;
    const current = sequence;
    if (current.position < generation.maximumTokens) {
      const token = WORDS[(current.seed[current.position % 32] ?? 0) % WORDS.length] ?? '';
      current.position += 1;
      current.text += token;
      this.totals.outputTokens += 1;
      generation.onText(token);
    }
    if (current.position >= generation.maximumTokens) this.finish(current);
  }

  private finish(sequence: Sequence): void {
    const { generation, admission, text } = sequence;
    this.running = this.running.filter((other) => other !== sequence);
    this.cache.unpin(admission?.digests ?? []);
    // What was generated is part of the next turn's context, and already built.
    this.cache.unpin(this.cache.admit(generation.program, generation.context + text).digests);
    this.totals.finished += 1;
    sequence.settle({
      text,
      inputTokens: countTokens(generation.context),
      cachedTokens: admission?.cachedTokens ?? 0,
      rebuiltTokens: admission?.rebuiltTokens ?? 0,
      outputTokens: sequence.position,
    });
  }
}

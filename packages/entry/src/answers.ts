/** Builds answers to callers, including the sealed continuation for the next call. */
import type { ConfigurationView } from '@marjorampin/configuration';
import { type Continuation, openContinuation, sealContinuation } from '@marjorampin/history';
import type { Metrics } from '@marjorampin/metrics';
import { CallError, type Segment } from '@marjorampin/types';
import type { Call, TurnAnswer, Usage } from './calls';
import type { Program } from './program';

/** Token counts that an engine reported for one turn. */
export type TurnUsage = Omit<Usage, 'spentTokens' | 'grantedTokens'>;

/** Usage of a turn that called no engine. */
export const NO_USAGE: TurnUsage = {
  inputTokens: 0,
  outputTokens: 0,
  cachedTokens: 0,
  rebuiltTokens: 0,
};

/** Builds answers and opens the continuations that callers send back. */
export class Answers {
  private readonly configuration: ConfigurationView;

  private readonly metrics: Metrics;

  constructor({ configuration, metrics }: { configuration: ConfigurationView; metrics: Metrics }) {
    this.configuration = configuration;
    this.metrics = metrics;
  }

  /** Returns the answer to a turn. */
  buildAnswer(program: Program, turn: number, usage: TurnUsage): TurnAnswer {
    const { granted } = program.budget;
    const segment = program.segments[turn - 1];
    const spentTokens = segment?.spent ?? program.budget.spent;
    return {
      program: program.id,
      turn,
      continuation: this.seal(program, turn),
      usage: { ...usage, spentTokens, grantedTokens: granted },
      ...contentOf(segment),
    };
  }

  /** Returns the answer to a repeated request for a turn that is already stored. */
  replay(program: Program, segment: Segment): TurnAnswer {
    this.metrics.count('repeated_answers_total', { customer: program.customer });
    return this.buildAnswer(program, segment.turn, NO_USAGE);
  }

  /** Returns the sealed continuation for the call that follows a turn. */
  seal(program: Program, turn: number): string {
    return sealContinuation(program.continuationAt(turn), this.configuration.sealingKeys);
  }

  /** Opens the continuation of a call; throws `invalid-continuation` or `forbidden`. */
  open(sealed: string, { customer, program }: Call): Continuation {
    const { sealingKeys } = this.configuration;
    const opened = openContinuation(sealed, sealingKeys, customer);
    if (opened.err) throw opened.val;
    if (opened.val.program === program) return opened.val;
    const message =
      "the continuation belongs to another program; use the one from this program's last answer";
    throw new CallError({ kind: 'invalid-continuation', message });
  }
}

function contentOf(segment: Segment | undefined): Partial<TurnAnswer> {
  switch (segment?.kind) {
    case 'model':
      return { text: segment.answer };
    case 'service':
      return JSON.parse(segment.answer) as Partial<TurnAnswer>;
    case 'spawn':
      return { child: JSON.parse(segment.answer) as NonNullable<TurnAnswer['child']> };
    default:
      return {};
  }
}

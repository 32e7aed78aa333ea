import type { CostFields } from '@marjorampin/routing';
import type { AnswerBody } from './answerBody';

/** A chosen endpoint and the age of the data on which the choice is based. */
export interface ChosenEndpoint {
  endpoint: string;
  /** Age of the endpoint's load report in milliseconds; undefined for an unknown endpoint. */
  loadAgeMs: number | undefined;
  /** Age of the list of endpoints in milliseconds. */
  listAgeMs: number;
}

/** Collects the log fields of a call while it is handled. */
export class CallTrace {
  private program: string | undefined;

  private sends = 0;

  private permitWaitMs: number | undefined;

  private chosen: ChosenEndpoint | undefined;

  private answerBody: AnswerBody | undefined;

  private cost: CostFields = {};

  /** Sets the id of the program that the call belongs to. */
  setProgram(program: string | undefined): void {
    this.program = program;
  }

  /** Records the choice of an endpoint. */
  recordChoice(chosen: ChosenEndpoint): void {
    this.sends += 1;
    this.chosen = chosen;
    this.cost = {};
    this.answerBody = undefined;
  }

  /** Number of attempts so far. */
  get sendCount(): number {
    return this.sends;
  }

  /** Records that the call waits for the permit of a rate-limited endpoint. */
  recordWait(waitMs: number): void {
    this.permitWaitMs = Math.round((this.permitWaitMs ?? 0) + waitMs);
  }

  /** Records that the headers of an answer have arrived. */
  recordAnswer(body: AnswerBody): void {
    this.answerBody = body;
  }

  /** Records the cost of the latest attempt. */
  recordCost(cost: CostFields): void {
    this.cost = cost;
  }

  /** Metric labels of the latest attempt: framing and ending of its answer, `none` without one. */
  get answerLabels(): { framing: string; ending: string } {
    const { framing = 'none', ending = 'none' } = this.answerBody ?? {};
    return { framing, ending };
  }

  /** Log fields of the latest attempt's answer, none without one. */
  get answerFields() {
    if (!this.answerBody) return {};
    const { framing, ending, bytes } = this.answerBody;
    return { framing, ending, answerBytes: bytes };
  }

  /** Log fields: the program, the number of choices, the wait for permits, the latest choice, its
   * cost and its answer. */
  get fields() {
    const { program, sends, permitWaitMs } = this;
    return { program, sends, permitWaitMs, ...this.chosen, ...this.cost, ...this.answerFields };
  }
}

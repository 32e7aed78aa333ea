import type { TurnAnswer, Usage } from '@marjorampin/entry';
import type { CallerClient, TimedAnswer } from './callerClient';

/** Parameters of a model call. */
export interface ModelCallParameters {
  /** Name of the service. */
  service: string;
  /** Text that is added to the program's context. */
  input: string;
  /** Limit of the output tokens. */
  maximumTokens?: number;
  /** Whether the answer is streamed as server-sent events. */
  stream?: boolean;
}

/** Parameters of a call to a plain service. */
export interface ServiceCallParameters {
  /** Name of the service. */
  service: string;
  operation: string;
  idempotencyKey: string;
  body?: Record<string, unknown>;
}

/** Client of one program, which sends the continuation of the last answer with each call. */
export class ProgramClient {
  readonly program: string;

  continuation: string;

  /** Token usage that the last answer reported. */
  usage: Usage | undefined;

  private readonly client: CallerClient;

  private constructor(client: CallerClient, program: string, continuation: string) {
    this.client = client;
    this.program = program;
    this.continuation = continuation;
  }

  /** Opens a program; `budgetTokens` can lower the budget that its contract grants. */
  static async open(client: CallerClient, budgetTokens?: number): Promise<ProgramClient> {
    const { answer } = await client.call('/v1/programs', budgetTokens ? { budgetTokens } : {});
    return new ProgramClient(client, answer.program, answer.continuation);
  }

  /** Calls a model. */
  callModel(parameters: ModelCallParameters): Promise<TimedAnswer> {
    return this.sendTurn('model-calls', parameters);
  }

  /** Calls a plain service. */
  callService(parameters: ServiceCallParameters): Promise<TimedAnswer> {
    return this.sendTurn('service-calls', parameters);
  }

  /** Opens the program of a sub-agent and moves `budgetTokens` of this program's budget to it. */
  async spawn(budgetTokens: number): Promise<ProgramClient> {
    const { answer } = await this.sendTurn('children', { budgetTokens });
    const { program = '', continuation = '' } = answer.child ?? {};
    return new ProgramClient(this.client, program, continuation);
  }

  /** Ends the program. */
  async end(): Promise<TurnAnswer> {
    return (await this.sendTurn('end', {})).answer;
  }

  /** Returns the turns of the program so far. */
  async history(): Promise<{ program: string; turns: unknown[] }> {
    const path = `/v1/programs/${this.program}/history`;
    const { answer } = await this.client.call(path, { continuation: this.continuation });
    return answer as unknown as { program: string; turns: unknown[] };
  }

  private async sendTurn(path: string, body: object): Promise<TimedAnswer> {
    const { program, continuation } = this;
    const timedAnswer = await this.client.call(`/v1/programs/${program}/${path}`, {
      continuation,
      ...body,
    });
    this.continuation = timedAnswer.answer.continuation;
    this.usage = timedAnswer.answer.usage;
    return timedAnswer;
  }
}

import type { TurnAnswer, Usage } from '@marjorampin/entry';
import type { CallerClient, TimedAnswer } from './callerClient';

/** What a model call asks for. */
export interface ModelCallParameters {
  service: string;
  input: string;
  maximumTokens?: number;
  stream?: boolean;
}

/** What a service call asks for. */
export interface ServiceCallParameters {
  service: string;
  operation: string;
  idempotencyKey: string;
  body?: Record<string, unknown>;
}

/** One program, which carries its continuation from call to call. */
export class ProgramClient {
  readonly program: string;

  continuation: string;

  usage: Usage | undefined;

  private readonly client: CallerClient;

  private constructor(client: CallerClient, program: string, continuation: string) {
    this.client = client;
    this.program = program;
    this.continuation = continuation;
  }

  /** Opens a program. */
  static async open(client: CallerClient, budgetTokens?: number): Promise<ProgramClient> {
    const { answer } = await client.call('/v1/programs', budgetTokens ? { budgetTokens } : {});
    return new ProgramClient(client, answer.program, answer.continuation);
  }

  /** Calls a model. */
  callModel(input: ModelCallParameters): Promise<TimedAnswer> {
    return this.turn('model-calls', input);
  }

  /** Calls a service. */
  callService(input: ServiceCallParameters): Promise<TimedAnswer> {
    return this.turn('service-calls', input);
  }

  /** Opens a sub-agent's program. */
  async spawn(budgetTokens: number): Promise<ProgramClient> {
    const { answer } = await this.turn('children', { budgetTokens });
    const { program = '', continuation = '' } = answer.child ?? {};
    return new ProgramClient(this.client, program, continuation);
  }

  /** Ends the program. */
  async end(): Promise<TurnAnswer> {
    return (await this.turn('end', {})).answer;
  }

  /** Returns the turns so far. */
  async history(): Promise<{ program: string; turns: unknown[] }> {
    const path = `/v1/programs/${this.program}/history`;
    const { answer } = await this.client.call(path, { continuation: this.continuation });
    return answer as unknown as { program: string; turns: unknown[] };
  }

  private async turn(path: string, body: object): Promise<TimedAnswer> {
    const { program, continuation } = this;
    const timed = await this.client.call(`/v1/programs/${program}/${path}`, {
      continuation,
      ...body,
    });
    this.continuation = timed.answer.continuation;
    this.usage = timed.answer.usage;
    return timed;
  }
}

/** One call to a model engine. */
export interface ModelRequest {
  request: string;
  program: string;
  context: string;
  resumeText: string;
  maximumTokens: number;
  priority: number;
}

/** Token counts and the whole text of a finished call. */
export interface ModelOutcome {
  text: string;
  inputTokens: number;
  cachedTokens: number;
  rebuiltTokens: number;
  outputTokens: number;
}

/** Load of an endpoint as it reports itself. */
export interface EndpointLoad {
  running: number;
  queued: number;
  cachedTokens: number;
}

/** A model engine, as the agent beside it speaks to it. */
export abstract class ModelEndpoint {
  /** Runs a call; `onText` receives the text as it is generated. */
  abstract generate(
    request: ModelRequest,
    onText: (text: string) => void,
    signal: AbortSignal,
  ): Promise<ModelOutcome>;

  /** Frees the memory that the engine holds for a program. */
  abstract release(program: string): Promise<void>;

  /** Returns the engine's load. */
  abstract load(): Promise<EndpointLoad>;

  /** Returns the cached context of a program, for another engine. */
  abstract exportContext(program: string): Promise<string>;

  /** Takes in context that another engine exported. */
  abstract importContext(exported: string): Promise<void>;

  /** Returns the programs for which the engine holds memory. */
  abstract heldPrograms(): Promise<string[]>;
}

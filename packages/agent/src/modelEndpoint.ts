/** Parameters of one model call. */
export interface ModelRequest {
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
}

/** Text and token counts of a finished model call. */
export interface ModelOutcome {
  /** The whole text, including `resumeText`. */
  text: string;
  inputTokens: number;
  /** Input tokens that the engine found in its prefix cache. */
  cachedTokens: number;
  /** Input tokens that the engine had cached, evicted and computed again. */
  rebuiltTokens: number;
  outputTokens: number;
}

/** Load of an endpoint, which its agent reports to the entries. */
export interface EndpointLoad {
  /** Calls in progress. */
  running: number;
  /** Calls that wait at the endpoint. */
  queued: number;
  /** Tokens in the prefix cache; 0 for a plain service. */
  cachedTokens: number;
}

/** Interface between an agent and its model engine. */
export abstract class ModelEndpoint {
  /** Executes a call; `onText` receives the text as it is generated. */
  abstract generate(
    request: ModelRequest,
    onText: (text: string) => void,
    signal: AbortSignal,
  ): Promise<ModelOutcome>;

  /** Releases the context that the engine has cached for a program. */
  abstract release(program: string): Promise<void>;

  /** Returns the engine's load. */
  abstract load(): Promise<EndpointLoad>;

  /** Returns the cached context of a program in a form that another engine can import. */
  abstract exportContext(program: string): Promise<string>;

  /** Imports context that another engine exported. */
  abstract importContext(exported: string): Promise<void>;

  /** Returns the ids of the programs whose context the engine has cached. */
  abstract cachedPrograms(): Promise<string[]>;
}

import { pickService } from '@marjorampin/routing';
import { holdUnsent, relayAnswer, type RelayContext, relayStream } from './answerRelay';
import type { CallerRequest } from './callerRequest';
import { EventReader } from './eventReader';
import type { EndpointAttempts } from './endpointAttempts';

/** Forwards calls that need no stored turns. */
export class CallForwarder {
  private readonly attempts: EndpointAttempts;

  private readonly context: RelayContext;

  constructor({ attempts, ...context }: RelayContext & { attempts: EndpointAttempts }) {
    this.attempts = attempts;
    this.context = context;
  }

  /** Forwards a call and its answer; may throw a `CallError` after part of the answer was sent. */
  async forward(request: CallerRequest): Promise<void> {
    const { route, response, body, callHeaders } = request;
    const service = pickService(route.destinations, Math.random()) ?? '';
    const { promptTokens: contextTokens } = callHeaders;
    const { isResumable } = route;
    // A parser costs as much as several other steps of a call.
    const events = isResumable ? new EventReader({ keepsOutput: false }) : undefined;
    const lastEventId = () => events?.lastEventId;
    const outgoing = { service, body, warmEndpoint: '', contextTokens, lastEventId };
    await this.attempts.run(request, outgoing, async (answer) => {
      const isFailure = answer.status !== 200 && !response.headersSent;
      if (route.kind !== 'stream' || isFailure) {
        await relayAnswer(response, answer, this.context);
        return;
      }
      await relayStream(response, answer, this.context, { isResumable, events });
      response.end();
      holdUnsent(response, this.context.held);
    });
  }
}

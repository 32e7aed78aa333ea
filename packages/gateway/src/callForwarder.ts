import { pickService } from '@marjorampin/routing';
import { relayAnswer, relayStream } from './answerRelay';
import type { CallerRequest } from './callerRequest';
import { EventReader } from './eventReader';
import type { HeaderCodec } from './headerCodec';
import type { EndpointAttempts } from './endpointAttempts';

/** Forwards calls that need no stored turns. */
export class CallForwarder {
  private readonly attempts: EndpointAttempts;

  private readonly headerCodec: HeaderCodec;

  constructor({ attempts, headerCodec }: { attempts: EndpointAttempts; headerCodec: HeaderCodec }) {
    this.attempts = attempts;
    this.headerCodec = headerCodec;
  }

  /** Forwards a call and its answer; may throw a `CallError` after part of the answer was sent. */
  async forward(request: CallerRequest): Promise<void> {
    const { route, response, body, callHeaders } = request;
    const service = pickService(route.destinations, Math.random()) ?? '';
    const { promptTokens: contextTokens } = callHeaders;
    const { isResumable } = route;
    // A parser costs as much as several other steps of a call.
    const events = isResumable ? new EventReader() : undefined;
    const lastEventId = () => events?.lastEventId;
    const outgoing = { service, body, warmEndpoint: '', contextTokens, lastEventId };
    const onBytes = (bytes: Buffer) => events?.read(bytes);
    const relayOptions = { isResumable, onBytes };
    await this.attempts.run(request, outgoing, async (answer) => {
      const isFailure = answer.status !== 200 && !response.headersSent;
      if (route.kind !== 'stream' || isFailure) {
        await relayAnswer(response, answer, this.headerCodec);
        return;
      }
      await relayStream(response, answer, this.headerCodec, relayOptions);
      response.end();
    });
  }
}

import type { Static, TSchema } from 'typebox';
import { SchemaCheck } from './schemacheck.js';
import { Err } from './err.js';
import type { Ident } from './ident.js';
import type { Message } from './message.js';
import { Ok } from './ok.js';
import type { Messenger } from './messenger.js';
import type { Result } from './result.js';
import type { RequestError } from './requesterror.js';
import type { World } from './world.js';

/**
 * The version of the messages between daemons, raised with each release that adds a key to any message. Version 2 names
 * the expected incarnation in `ledger.open`; 3 stores bursts; 4 names the server list held, lets the head add up loads,
 * and names the chunks held of a long record; 5 hands over control state as changes and says which members of a view
 * are complete.
 */
const PROTOCOL_VERSION = 5;
type Handler = { schema: TSchema; fn: (body: never, from: Ident) => unknown; oneWay: boolean };

/**
 * Sends and dispatches the messages of one daemon and validates all requests and replies. Unknown keys are an error in
 * messages of our own or the previous protocol version; they are removed from messages of the next version and from
 * replies.
 */
export const Messaging = {
  make(world: World, self: () => Ident): Messenger {
    const handlers = new Map<string, Handler>();
    const log = world.log('post');
    let closed = false;
    // A reply of null refuses the message.
    world.wire.onMessage(async (mail) => {
      const me = self();
      if (closed) return null;
      if (mail.to !== '' && mail.to !== me.id) {
        log.warn(`Refused message ${mail.kind} addressed to ${mail.to}.`);
        return null;
      }
      const handler = handlers.get(mail.kind);
      if (!handler) {
        log.warn(`Refused message of unknown kind ${mail.kind}.`);
        return null;
      }
      if (Math.abs(mail.v - PROTOCOL_VERSION) > 1) {
        log.warn(`Refused message ${mail.kind} of unsupported protocol version ${mail.v}.`);
        return null;
      }
      const body = SchemaCheck.parse(
        handler.schema,
        mail.v > PROTOCOL_VERSION ? SchemaCheck.withoutUnknownKeys(handler.schema, mail.body) : mail.body,
      );
      if (body.err) {
        log.warn(`Refused invalid message ${mail.kind} from ${mail.from.id}.`);
        return null;
      }
      const reply = await handler.fn(body.val as never, mail.from);
      return handler.oneWay ? undefined : (reply ?? null);
    });
    return {
      on<S extends TSchema>(kind: string, schema: S, fn: (body: NoInfer<Static<S>>, from: Ident) => unknown): void {
        handlers.set(kind, { schema, fn, oneWay: false });
      },
      onTell<S extends TSchema>(kind: string, schema: S, fn: (body: NoInfer<Static<S>>, from: Ident) => void): void {
        handlers.set(kind, { schema, fn, oneWay: true });
      },
      tell(addr: string, to: string, kind: string, body: unknown): void {
        world.wire.tell(addr, { v: PROTOCOL_VERSION, to, from: self(), kind, body });
      },
      async ask<S extends TSchema>(
        addr: string,
        to: string,
        kind: string,
        body: unknown,
        schema: S,
        ms: number,
      ): Promise<Result<NoInfer<Static<S>>, RequestError>> {
        const message: Message = { v: PROTOCOL_VERSION, to, from: self(), kind, body };
        const reply = await world.wire.ask(addr, message, ms);
        if (reply.err) return reply;
        if (reply.val === null) return Err('wrong');
        const parsed = SchemaCheck.parseLenient(schema, reply.val);
        if (parsed.err) {
          log.warn(`Received an invalid reply to ${kind} from ${addr}.`);
          return Err('wrong');
        }
        return Ok(parsed.val);
      },
      close(): void {
        closed = true;
      },
    };
  },
};

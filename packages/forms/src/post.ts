import type { Static, TSchema } from 'typebox';
import { Check } from './check.js';
import { Err } from './err.js';
import type { Ident } from './ident.js';
import type { Mail } from './mail.js';
import { Ok } from './ok.js';
import type { PostBox } from './postbox.js';
import type { Result } from './result.js';
import type { WireFault } from './wirefault.js';
import type { World } from './world.js';

/**
 * Raised with each release that adds a key to any mail: 2 names the life meant in `ledger.open`, 3 keeps bursts, 4
 * names the list held, has the head add up loads, and names the chunks held of a long doc, 5 hands states on as changes
 * and tells which members of a view are complete.
 */
const VOICE = 5;
type Desk = { form: TSchema; fn: (body: never, from: Ident) => unknown; told: boolean };

/**
 * The mail room of one daemon: checks what comes in and what comes back.
 * Keys not known are faults in mail of our own voice, and are left out of mail of the next release and of replies.
 */
export const Post = {
  make(world: World, self: () => Ident): PostBox {
    const desks = new Map<string, Desk>();
    const log = world.log('post');
    let shut = false;
    world.wire.hear(async (mail) => {
      const me = self();
      if (shut) return null;
      if (mail.to !== '' && mail.to !== me.id) {
        log.warn(`Turned away ${mail.kind} meant for ${mail.to}.`);
        return null;
      }
      const desk = desks.get(mail.kind);
      if (!desk) {
        log.warn(`Turned away unknown ${mail.kind}.`);
        return null;
      }
      if (Math.abs(mail.v - VOICE) > 1) {
        log.warn(`Turned away ${mail.kind} of voice ${mail.v}.`);
        return null;
      }
      const body = Check.parse(desk.form, mail.v > VOICE ? Check.known(desk.form, mail.body) : mail.body);
      if (body.err) {
        log.warn(`Turned away bad ${mail.kind} from ${mail.from.id}.`);
        return null;
      }
      const back = await desk.fn(body.val as never, mail.from);
      return desk.told ? undefined : (back ?? null);
    });
    return {
      on<S extends TSchema>(kind: string, form: S, fn: (body: NoInfer<Static<S>>, from: Ident) => unknown): void {
        desks.set(kind, { form, fn, told: false });
      },
      heed<S extends TSchema>(kind: string, form: S, fn: (body: NoInfer<Static<S>>, from: Ident) => void): void {
        desks.set(kind, { form, fn, told: true });
      },
      tell(addr: string, to: string, kind: string, body: unknown): void {
        world.wire.tell(addr, { v: VOICE, to, from: self(), kind, body });
      },
      async ask<S extends TSchema>(
        addr: string,
        to: string,
        kind: string,
        body: unknown,
        form: S,
        ms: number,
      ): Promise<Result<NoInfer<Static<S>>, WireFault>> {
        const mail: Mail = { v: VOICE, to, from: self(), kind, body };
        const back = await world.wire.ask(addr, mail, ms);
        if (back.err) return back;
        if (back.val === null) return Err('wrong');
        const seen = Check.lenient(form, back.val);
        if (seen.err) {
          log.warn(`Bad reply to ${kind} from ${addr}.`);
          return Err('wrong');
        }
        return Ok(seen.val);
      },
      close(): void {
        shut = true;
      },
    };
  },
};

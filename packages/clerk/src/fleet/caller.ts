import { Dice, Logs, Post, RealClock, TcpLines, type Ident, type PostBox, type World } from '@pumicebarrow/forms';

/** Nobody asks clerk: the address is only there because every daemon has one. */
const NOWHERE = '127.0.0.1:1';

/** Who asks on the daemons' wire without being one of them. It hears nothing and is in no one's view. */
export const Caller = {
  make(): { world: World; post: PostBox; close(): void } {
    const chance = { real: () => Math.random() };
    const lines = TcpLines.make(Logs.quiet());
    const world: World = {
      clock: RealClock.make(),
      chance,
      wire: { ask: lines.ask, tell: lines.tell, hear: () => undefined },
      disk: null,
      log: Logs.quiet,
      tell: () => undefined,
    };
    const word = Dice.word(chance);
    const self: Ident = { id: `clerk-${word}`, born: word, addr: NOWHERE, site: 'clerk', role: 'registry' };
    return {
      world,
      post: Post.make(world, () => self),
      close: () => lines.close(),
    };
  },
};

import { Dice, Logs, Post, RealClock, TcpLines, type Ident, type PostBox, type World } from '@pumicebarrow/forms';

/** Nobody asks clerk: the address is only there because every daemon has one. */
const UNUSED_ADDRESS = '127.0.0.1:1';

/** Who asks on the daemons' wire without being one of them. It hears nothing and is in no one's view. */
export const MessagingClient = {
  make(): { world: World; post: PostBox; close(): void } {
    const random = { real: () => Math.random() };
    const tcpClient = TcpLines.make(Logs.quiet());
    const world: World = {
      clock: RealClock.make(),
      chance: random,
      wire: { ask: tcpClient.ask, tell: tcpClient.tell, hear: () => undefined },
      disk: null,
      log: Logs.quiet,
      tell: () => undefined,
    };
    const incarnation = Dice.word(random);
    const self: Ident = {
      id: `clerk-${incarnation}`,
      born: incarnation,
      addr: UNUSED_ADDRESS,
      site: 'clerk',
      role: 'registry',
    };
    return {
      world,
      post: Post.make(world, () => self),
      close: () => tcpClient.close(),
    };
  },
};

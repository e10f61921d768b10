import { Dice, Logs, Post, RealClock, TcpLines, type Ident, type PostBox, type World } from '@pumicebarrow/forms';

/** Placeholder: a daemon identity needs an address, but clerk accepts no connections. */
const UNUSED_ADDRESS = '127.0.0.1:1';

/** Client of the daemon protocol that is not a daemon: it receives no messages and is a member of no view. */
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

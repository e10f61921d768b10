import {
  Random,
  Logs,
  Messaging,
  SystemClock,
  TcpClient,
  type Ident,
  type Messenger,
  type World,
} from '@pumicebarrow/forms';

/** Placeholder: a daemon identity needs an address, but clerk accepts no connections. */
const UNUSED_ADDRESS = '127.0.0.1:1';

/** Client of the daemon protocol that is not a daemon: it receives no messages and is a member of no view. */
export const MessagingClient = {
  make(): { world: World; post: Messenger; close(): void } {
    const random = { real: () => Math.random() };
    const tcpClient = TcpClient.make(Logs.silent());
    const world: World = {
      clock: SystemClock.make(),
      random,
      wire: { ask: tcpClient.ask, tell: tcpClient.tell, onMessage: () => undefined },
      disk: null,
      log: Logs.silent,
      recordEvent: () => undefined,
    };
    const incarnation = Random.hexId(random);
    const self: Ident = {
      id: `clerk-${incarnation}`,
      born: incarnation,
      addr: UNUSED_ADDRESS,
      site: 'clerk',
      role: 'registry',
    };
    return {
      world,
      post: Messaging.make(world, () => self),
      close: () => tcpClient.close(),
    };
  },
};

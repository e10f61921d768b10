import { expect } from 'chai';
import { ProcessLimits } from './processlimits.js';

const FILE_DESCRIPTORS = 200;
/** What is left to connections that the process opens to its peers and to the platform. */
const LEFT_SHARE = 1 / 16;

describe('The limits of a process', () => {
  const machines = [
    { memoryBytes: 160e6, descriptors: 512 },
    { memoryBytes: 160e6, descriptors: 4100 },
    { memoryBytes: 250e6, descriptors: 4100 },
    { memoryBytes: 350e6, descriptors: 4096 },
  ];
  const processes = [
    { servesClients: true, daemons: 1 },
    { servesClients: true, daemons: 2 },
    { servesClients: false, daemons: 1 },
  ];
  for (const machine of machines)
    for (const { servesClients, daemons } of processes)
      it(`add up to less than ${JSON.stringify({ ...machine, servesClients, daemons })} allows`, () => {
        const limits = ProcessLimits.of(machine, { servesClients, daemons });
        const listeners = [
          limits.operators,
          limits.readiness,
          limits.scrapers,
          ...(servesClients ? [limits.clients] : []),
        ];
        const own = listeners.reduce((sum, listener) => sum + listener.maxConnections, 0);
        const sockets = own + daemons * (limits.peers.maxConnections + limits.maxServerConnections);
        expect(sockets).to.be.at.most((machine.descriptors - FILE_DESCRIPTORS) * (1 - LEFT_SHARE));
        expect(limits.clients.memory).to.equal(limits.peers.memory);
      });
});

import { Err, Ok, type Messenger, type RequestError } from '@pumicebarrow/forms';
import { expect } from 'chai';
import { CoreStateMachine } from '../state/corestatemachine.js';
import type { CoreState } from '../state/corestate.js';
import type { StateChange } from '../state/statechange.js';
import { StateChanges } from '../state/statechanges.js';
import { StateTransfer } from './statetransfer.js';

type Reply = { ok: boolean; lacking: boolean } | RequestError;
const next = { id: 'k2', born: 'b2', addr: '10.0.0.2:7000' };
const version = (seq: number): CoreState => ({
  ...CoreStateMachine.emptyState,
  seq,
  claims: { x: { id: 'k', born: 'b', fence: seq + 1 } },
});

/** A successor that answers changes with the given replies in order and accepts every whole state. */
const memberReplying = (...replies: Reply[]) => {
  const sent: string[] = [];
  const post = {
    ask(_addr: string, _to: string, kind: string, body: { change?: StateChange; state?: CoreState }) {
      sent.push(`${kind} ${body.change ? `${body.change.base.seq}>${body.change.result.seq}` : body.state!.seq}`);
      const reply = body.change ? replies.shift()! : { ok: true };
      return Promise.resolve(typeof reply === 'string' ? Err(reply) : Ok(reply));
    },
  } as unknown as Messenger;
  return { sent, handover: StateTransfer.make(post, StateChanges.make()) };
};
const taken = { ok: true, lacking: false };
const lacking = { ok: false, lacking: true };

describe('State transfer to the next chain member', () => {
  it('sends a change against the version that the member confirmed last', async () => {
    const { sent, handover } = memberReplying(taken, taken, taken);
    for (const seq of [1, 2, 5]) expect(await handover.send(next, 1, version(seq))).to.equal(true);
    expect(sent).to.deep.equal(['core.change 1>1', 'core.change 1>2', 'core.change 2>5']);
  });
  it('sends the whole state to a member that lacks the base version, and a change after that', async () => {
    const { sent, handover } = memberReplying(lacking, taken);
    expect(await handover.send(next, 1, version(3))).to.equal(true);
    expect(await handover.send(next, 1, version(4))).to.equal(true);
    expect(sent).to.deep.equal(['core.change 3>3', 'core.push 3', 'core.change 3>4']);
  });
  it('sends the whole state to a member of the previous release, which does not support changes', async () => {
    const { sent, handover } = memberReplying('wrong');
    expect(await handover.send(next, 1, version(3))).to.equal(true);
    expect(sent).to.deep.equal(['core.change 3>3', 'core.push 3']);
  });
  it('does not resend by itself when the outcome is unknown, and then assumes no confirmed version', async () => {
    for (const reply of ['lost', 'unsent'] as RequestError[]) {
      const { sent, handover } = memberReplying(taken, reply, taken);
      await handover.send(next, 1, version(1));
      expect(await handover.send(next, 1, version(2)), reply).to.equal(false);
      expect(await handover.send(next, 1, version(2)), reply).to.equal(true);
      expect(sent.slice(1), 'the version held is assumed again').to.deep.equal(['core.change 1>2', 'core.change 2>2']);
    }
  });
  it('reports failure if the member refuses the version', async () => {
    const { sent, handover } = memberReplying({ ok: false, lacking: false });
    expect(await handover.send(next, 1, version(1))).to.equal(false);
    expect(sent.length).to.equal(1);
  });
  it('assumes nothing about another incarnation at the same address', async () => {
    const { sent, handover } = memberReplying(taken, lacking);
    await handover.send(next, 1, version(1));
    await handover.send({ ...next, born: 'later' }, 2, version(2));
    expect(sent).to.deep.equal(['core.change 1>1', 'core.change 2>2', 'core.push 2']);
  });
});

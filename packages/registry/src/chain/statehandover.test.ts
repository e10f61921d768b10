import { Err, Ok, type PostBox, type WireFault } from '@pumicebarrow/forms';
import { expect } from 'chai';
import { Apply } from '../state/apply.js';
import type { CoreState } from '../state/corestate.js';
import type { StateChange } from '../state/statechange.js';
import { StateChanges } from '../state/statechanges.js';
import { StateTransfer } from './statehandover.js';

type Reply = { ok: boolean; lacking: boolean } | WireFault;
const next = { id: 'k2', born: 'b2', addr: '10.0.0.2:7000' };
const version = (seq: number): CoreState => ({
  ...Apply.empty,
  seq,
  claims: { x: { id: 'k', born: 'b', fence: seq + 1 } },
});

/** A next member that replies to changes as told, in turn, and takes every whole state. */
const member = (...replies: Reply[]) => {
  const sent: string[] = [];
  const post = {
    ask(_addr: string, _to: string, kind: string, body: { change?: StateChange; state?: CoreState }) {
      sent.push(`${kind} ${body.change ? `${body.change.base.seq}>${body.change.result.seq}` : body.state!.seq}`);
      const reply = body.change ? replies.shift()! : { ok: true };
      return Promise.resolve(typeof reply === 'string' ? Err(reply) : Ok(reply));
    },
  } as unknown as PostBox;
  return { sent, handover: StateTransfer.make(post, StateChanges.make()) };
};
const taken = { ok: true, lacking: false };
const lacking = { ok: false, lacking: true };

describe('A version is handed to the next of the chain', () => {
  it('as a change against what that one said that it holds', async () => {
    const { sent, handover } = member(taken, taken, taken);
    for (const seq of [1, 2, 5]) expect(await handover.send(next, 1, version(seq))).to.equal(true);
    expect(sent).to.deep.equal(['core.change 1>1', 'core.change 1>2', 'core.change 2>5']);
  });
  it('whole to one that lacks the version named, and as a change again after it', async () => {
    const { sent, handover } = member(lacking, taken);
    expect(await handover.send(next, 1, version(3))).to.equal(true);
    expect(await handover.send(next, 1, version(4))).to.equal(true);
    expect(sent).to.deep.equal(['core.change 3>3', 'core.push 3', 'core.change 3>4']);
  });
  it('whole to one of the release before, which knows no changes', async () => {
    const { sent, handover } = member('wrong');
    expect(await handover.send(next, 1, version(3))).to.equal(true);
    expect(sent).to.deep.equal(['core.change 3>3', 'core.push 3']);
  });
  it('and not a second time while it is unknown whether it was taken', async () => {
    for (const reply of ['lost', 'unsent'] as WireFault[]) {
      const { sent, handover } = member(taken, reply, taken);
      await handover.send(next, 1, version(1));
      expect(await handover.send(next, 1, version(2)), reply).to.equal(false);
      expect(await handover.send(next, 1, version(2)), reply).to.equal(true);
      expect(sent.slice(1), 'what it holds is a guess again').to.deep.equal(['core.change 1>2', 'core.change 2>2']);
    }
  });
  it('and is not held where the member says so', async () => {
    const { sent, handover } = member({ ok: false, lacking: false });
    expect(await handover.send(next, 1, version(1))).to.equal(false);
    expect(sent.length).to.equal(1);
  });
  it('with nothing assumed of another life at the same address', async () => {
    const { sent, handover } = member(taken, lacking);
    await handover.send(next, 1, version(1));
    await handover.send({ ...next, born: 'later' }, 2, version(2));
    expect(sent).to.deep.equal(['core.change 1>1', 'core.change 2>2', 'core.push 2']);
  });
});

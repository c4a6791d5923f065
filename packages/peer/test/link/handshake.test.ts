import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {Handshake} from '../../src/link/handshake.js';

const identity = (vm: string, secret = 'secret', deployment = 'd') => ({
  deployment,
  vm,
  secret,
});

function pair(connectorSecret = 'secret', acceptorSecret = 'secret') {
  const connector = new Handshake(
    identity('a', connectorSecret),
    'connector',
    1,
  );
  const acceptor = new Handshake(identity('b', acceptorSecret), 'acceptor', 0);
  connector.receiveChallenge(acceptor.challenge);
  acceptor.receiveChallenge(connector.challenge);
  return {connector, acceptor};
}

const kindOf = (result: {isErr: boolean; error?: {kind: string}}) =>
  result.isErr ? result.error?.kind : 'ok';

describe('handshake', () => {
  test('both ends authenticate with the same secret', () => {
    const {connector, acceptor} = pair();
    expect(kindOf(acceptor.checkProof(connector.createProof()))).toBe('ok');
    expect(kindOf(connector.checkProof(acceptor.createProof()))).toBe('ok');
  });

  test('a wrong secret is refused at both ends', () => {
    const {connector, acceptor} = pair('secret', 'other');
    expect(kindOf(acceptor.checkProof(connector.createProof()))).toBe(
      'peer-unauthenticated',
    );
    expect(kindOf(connector.checkProof(acceptor.createProof()))).toBe(
      'peer-unauthenticated',
    );
  });

  // Guards against a proof that is valid for more than one connection.
  test('a replayed challenge and proof are refused', () => {
    const {connector} = pair();
    const recorded = connector.createProof();
    const later = new Handshake(identity('b'), 'acceptor', 0);
    later.receiveChallenge(connector.challenge);
    expect(kindOf(later.checkProof(recorded))).toBe('peer-unauthenticated');
  });

  // Guards against a peer without the secret that sends our own proof back.
  test('a reflected proof is refused', () => {
    const own = new Handshake(identity('a'), 'connector', 1);
    own.receiveChallenge({...own.challenge, vm: 'a', attempt: 0});
    expect(kindOf(own.checkProof(own.createProof()))).toBe(
      'peer-unauthenticated',
    );
  });

  test('a proof is not valid for another VM', () => {
    const {connector} = pair();
    const acceptor = new Handshake(identity('b'), 'acceptor', 0);
    connector.receiveChallenge(acceptor.challenge);
    acceptor.receiveChallenge({...connector.challenge, vm: 'c'});
    expect(kindOf(acceptor.checkProof(connector.createProof()))).toBe(
      'peer-unauthenticated',
    );
  });

  test('another deployment is refused before any proof is exchanged', () => {
    const other = new Handshake(identity('a', 'secret', 'e'), 'connector', 1);
    const acceptor = new Handshake(identity('b'), 'acceptor', 0);
    expect(kindOf(acceptor.receiveChallenge(other.challenge))).toBe(
      'peer-unauthenticated',
    );
  });

  test('malformed frames are refused with peer-protocol', () => {
    fc.assert(
      fc.property(fc.anything(), frame => {
        const {connector, acceptor} = pair();
        expect(kindOf(acceptor.receiveChallenge(frame))).toBe('peer-protocol');
        expect(kindOf(connector.checkProof(frame))).toBe('peer-protocol');
      }),
    );
    const {connector, acceptor} = pair();
    const shortMac = {kind: 'proof', mac: new Uint8Array(31)};
    expect(kindOf(connector.checkProof(shortMac))).toBe('peer-protocol');
    const longName = {...connector.challenge, vm: 'x'.repeat(65)};
    expect(kindOf(acceptor.receiveChallenge(longName))).toBe('peer-protocol');
  });
});

/** A faulty server that never stops sending once it has received a request. */
import {startScript} from './utils/script-process.js';
import type {ScriptProcess} from './utils/script-process.js';

const OK = 'HTTP/1.1 200 OK\r\n';
const SIGNED = 'request-id: ID\r\nresponse-signature: x\r\n';
const CHUNKED = 'transfer-encoding: chunked\r\n\r\n';

/**
 * Kinds of endless answers. Each has a prefix that is sent once and bytes that
 * repeat without end. `ID` in a prefix is replaced by the id of the request.
 */
export const ENDLESS_ANSWERS = {
  'bytes that are no answer': ['', '\0\x01?'],
  'interim answers': ['', 'HTTP/1.1 102 Processing\r\n\r\n'],
  'a status line': ['HTTP/1.1 200 ', 'a'],
  'a header': [`${OK}x-a: `, 'a'],
  headers: [OK, 'x-a: b\r\n'],
  'a body in chunks': [`${OK}${SIGNED}${CHUNKED}`, '4\r\naaaa\r\n'],
  'a body without a signature': [
    `${OK}request-id: ID\r\n${CHUNKED}`,
    '4\r\naaaa\r\n',
  ],
  'a body without a length': [`${OK}${SIGNED}connection: close\r\n\r\n`, 'a'],
  'the body of a refusal': [
    `HTTP/1.1 503 Full\r\nrequest-id: ID\r\nnot-executed: 1\r\nwisteriarun-outcome: not-run\r\n${CHUNKED}`,
    '4\r\naaaa\r\n',
  ],
  'a chunk extension': [`${OK}${SIGNED}${CHUNKED}4;`, 'a'],
  trailers: [`${OK}${SIGNED}${CHUNKED}0\r\n`, 'x-a: b\r\n'],
  'bytes after an answer': [`${OK}${SIGNED}content-length: 2\r\n\r\nok`, 'a'],
} as const satisfies Record<string, readonly [string, string]>;

/** Key of `ENDLESS_ANSWERS`, which names what is sent without end. */
export type EndlessAnswerKind = keyof typeof ENDLESS_ANSWERS;

/** Approximate size of one write. */
const WRITE_BYTES = 65_536;

/** A server in a process of its own that sends endless answers. */
export class EndlessAnswerServer {
  /** Number of open connections that have sent a request. */
  connectionCount = 0;

  private constructor(
    private readonly child: ScriptProcess,
    /** Address in the form `host:port`. */
    readonly address: string,
  ) {
    child.stdout.on('data', (text: Buffer) => {
      const lines = text.toString('utf8').trim().split('\n');
      this.connectionCount = Number(lines.at(-1));
    });
  }

  /**
   * Starts the process.
   *
   * @param kind - Kind of answer to send.
   * @returns The server, which is listening.
   */
  static async start(kind: EndlessAnswerKind): Promise<EndlessAnswerServer> {
    const [prefix, repeated] = ENDLESS_ANSWERS[kind];
    const script = `
      const prefix = ${JSON.stringify(prefix)};
      const repeated = ${JSON.stringify(repeated)};
      const block = Buffer.from(
        repeated.repeat(Math.ceil(${WRITE_BYTES} / repeated.length)), 'latin1');
      let connections = 0;
      const report = change => {
        connections += change;
        process.stdout.write(connections + '\\n');
      };
      const server = require('node:net').createServer(socket => {
        socket.on('error', () => {});
        socket.once('data', head => {
          report(1);
          socket.on('close', () => report(-1));
          const id = /request-id: (\\S+)/i.exec(head.toString('latin1'));
          socket.write(prefix.replace('ID', id ? id[1] : ''));
          const pump = () => {
            while (!socket.destroyed && socket.write(block));
          };
          socket.on('drain', pump);
          pump();
        });
      });
      server.listen(0, '127.0.0.1', () =>
        process.stdout.write(server.address().port + '\\n'));
    `;
    const {child, firstOutput: port} = await startScript(script);
    return new EndlessAnswerServer(child, `127.0.0.1:${port}`);
  }

  /** Ends the process. */
  close(): void {
    this.child.kill();
  }
}

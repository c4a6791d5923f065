/** Reserves ports so that parallel runs on one machine do not share any. */
import {createServer, type Server} from 'node:net';

const HOST = '127.0.0.1';
/**
 * All blocks lie between `FIRST_PORT` and `END_PORT`, below the kernel's
 * ephemeral range, which starts at 32,768 on Linux by default. So no outgoing
 * connection and no listener on port 0 gets a reserved port.
 */
const FIRST_PORT = 20_000;
/** First port after the blocks. */
const END_PORT = 32_000;
/** Number of ports of a block, including the one that serves as a lock. */
const BLOCK_SIZE = 100;
const MAX_TRIED_BLOCKS = 200;

/** A block of ports that is reserved for one run until it is closed. */
export class PortBlock {
  private nextPort: number;

  private constructor(
    private readonly lockServer: Server,
    private readonly firstPort: number,
  ) {
    this.nextPort = firstPort + 1;
  }

  /**
   * Reserves a block by listening on its first port, which serves as a lock.
   * Runs start their search at a random block, so they rarely try the same one.
   *
   * @throws Error when all blocks that were tried are in use.
   */
  static async reserve(): Promise<PortBlock> {
    const blockCount = Math.floor((END_PORT - FIRST_PORT) / BLOCK_SIZE);
    const start = Math.floor(Math.random() * blockCount);
    for (let i = 0; i < Math.min(blockCount, MAX_TRIED_BLOCKS); i++) {
      const port = FIRST_PORT + ((start + i) % blockCount) * BLOCK_SIZE;
      const lock = await listen(port);
      if (lock) return new PortBlock(lock, port);
    }
    throw new Error('no free block of ports');
  }

  /**
   * Allocates the next port of the block on which nothing listens.
   *
   * @throws Error when all ports of the block have been tried.
   */
  async allocate(): Promise<number> {
    while (this.nextPort < this.firstPort + BLOCK_SIZE) {
      const port = this.nextPort++;
      const probe = await listen(port);
      if (!probe) continue;
      await close(probe);
      return port;
    }
    throw new Error('block of ports used up');
  }

  /** Releases the block, and so all ports allocated from it. */
  close(): Promise<void> {
    return close(this.lockServer);
  }
}

/** Listens on a port of `HOST`; resolves to null if that fails. */
function listen(port: number): Promise<Server | null> {
  return new Promise(resolve => {
    const server = createServer(socket => socket.destroy());
    server.once('error', () => resolve(null));
    server.listen(port, HOST, () => resolve(server));
  });
}

function close(server: Server): Promise<void> {
  return new Promise(resolve => server.close(() => resolve()));
}

/** What the writer needs of a disk; tests put in one that crashes, fills up or loses what was not synced. */
import { open, mkdir, readdir, readFile, rename, rm, type FileHandle } from 'node:fs/promises';
import { join } from 'node:path';

/** A file that is being appended to. */
export interface OpenFile {
  append(data: Buffer): Promise<void>;
  /** Completes once what was appended is on the disk. */
  sync(): Promise<void>;
  close(): Promise<void>;
}
/** One directory. */
export interface Files {
  create(name: string): Promise<OpenFile>;
  rename(from: string, to: string): Promise<void>;
  remove(name: string): Promise<void>;
  list(): Promise<string[]>;
  read(name: string): Promise<Buffer>;
}

/** A directory of a real disk. */
export class DiskFiles implements Files {
  constructor(private readonly dir: string) {}

  async create(name: string): Promise<OpenFile> {
    await mkdir(this.dir, { recursive: true });
    const file: FileHandle = await open(join(this.dir, name), 'wx');
    return {
      append: async (data) => {
        await file.appendFile(data);
      },
      sync: () => file.datasync(),
      close: () => file.close(),
    };
  }

  async rename(from: string, to: string): Promise<void> {
    await rename(join(this.dir, from), join(this.dir, to));
    // The name itself must be on the disk too.
    const dir = await open(this.dir, 'r');
    try {
      await dir.sync();
    } finally {
      await dir.close();
    }
  }

  remove(name: string): Promise<void> {
    return rm(join(this.dir, name), { force: true });
  }

  async list(): Promise<string[]> {
    try {
      return await readdir(this.dir);
    } catch (e) {
      if ((e as NodeJS.ErrnoException).code === 'ENOENT') return [];
      throw e;
    }
  }

  read(name: string): Promise<Buffer> {
    return readFile(join(this.dir, name));
  }
}

/** The disk operations that snapshots use; tests replace them with a disk that crashes, fills up or loses unsynced data. */
import { open, mkdir, readdir, readFile, rename, rm, type FileHandle } from 'node:fs/promises';
import { join } from 'node:path';

/** A file opened for appending. */
export interface OpenFile {
  append(data: Buffer): Promise<void>;
  /** Completes once the appended data is on the disk. */
  sync(): Promise<void>;
  close(): Promise<void>;
}
/** A directory that holds the files of one snapshot. */
export interface Files {
  create(name: string): Promise<OpenFile>;
  rename(from: string, to: string): Promise<void>;
  remove(name: string): Promise<void>;
  list(): Promise<string[]>;
  read(name: string): Promise<Buffer>;
}

/** A directory on a real disk. */
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
    // Syncs the directory, so that the new name is on the disk as well.
    const directory = await open(this.dir, 'r');
    try {
      await directory.sync();
    } finally {
      await directory.close();
    }
  }

  remove(name: string): Promise<void> {
    return rm(join(this.dir, name), { force: true });
  }

  async list(): Promise<string[]> {
    try {
      return await readdir(this.dir);
    } catch (failure) {
      if ((failure as NodeJS.ErrnoException).code === 'ENOENT') return [];
      throw failure;
    }
  }

  read(name: string): Promise<Buffer> {
    return readFile(join(this.dir, name));
  }
}

"""Case 1: a second answer that a member's system holds back reaches another caller."""

import os
import random
import socket
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))
from harness import CannotRun, Program, Reader, Server, TROUBLE, accepts, free_port, play, wait_until

CALLERS = "ABCDEF"
# Requests a second of all callers together, at random times.
RATE = 600.0
# Each member answers one request twice, this long after the callers have begun.
COPY_AFTER_S = 6.0
SECONDS = 8.0
# How long a member works on a request.
WORK_S = 0.002

FILE = """
[instance]
name = "shop-proxy"

[[listener]]
name = "public"
address = "127.0.0.1:{port}"

[[pool]]
name = "shop"
members = [{members}]

[[route]]
pool = "shop"
"""


def made_body(path):
    """The body that a member makes for a request."""
    return b"for " + path.encode()


class Member:
    """A server with the usual setting of a socket: a small write waits while an earlier one is not
    acknowledged (no TCP_NODELAY)."""

    def __init__(self, name, record):
        self.name = name
        self.record = record
        self.is_copy_due = False
        self.answers = 0
        self.server = Server(self.serve)

    def serve(self, sock):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 0)
        reader = Reader(sock)
        while True:
            first, headers = reader.head()
            reader.body(headers)
            path = first.split()[1]
            self.record.line("member %s: runs %s" % (self.name, path))
            time.sleep(WORK_S)
            body = made_body(path)
            answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
            sock.sendall(answer)
            self.answers += 1
            if TROUBLE and self.is_copy_due:
                self.is_copy_due = False
                sock.sendall(answer)
                self.record.line("member %s: answers %s, and the same again right behind" % (self.name, path))


def call(name, port, until, record, breaks, counts):
    """Sends one request after the other on a kept connection, and compares each answer."""
    sock = socket.create_connection(("127.0.0.1", port), 5)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.settimeout(10)
    reader = Reader(sock)
    number = 0
    while time.monotonic() < until:
        number += 1
        path = "/caller-%s/%d" % (name, number)
        sock.sendall(("GET %s HTTP/1.1\r\nHost: shop.example\r\n\r\n" % path).encode())
        first, headers = reader.head()
        body = reader.body(headers)
        counts[name] = number
        record.line("caller %s: asked for %s and was answered %s %r" % (name, path, first, body))
        if first.split()[1] == "200" and body != made_body(path):
            breaks.append("caller %s asked for %s and got the answer %r" % (name, path, body))
        time.sleep(random.random() * 2 * len(CALLERS) / RATE)


def case(record, scratch, programs):
    members = [Member(name, record) for name in "abc"]
    port = free_port()
    file = os.path.join(scratch, "shop.toml")
    with open(file, "w") as out:
        listed = ", ".join('{ name = "%s", address = "%s" }' % (m.name, m.server.address) for m in members)
        out.write(FILE.format(port=port, members=listed))
    programs.append(Program(["serve", "--config", file], {}, scratch))
    wait_until(lambda: accepts(port), 10, "the proxy does not listen")
    breaks, counts = [], {}
    until = time.monotonic() + SECONDS
    callers = [
        threading.Thread(target=call, args=(name, port, until, record, breaks, counts), daemon=True) for name in CALLERS]
    for caller in callers:
        caller.start()
    time.sleep(COPY_AFTER_S)
    for member in members:
        member.is_copy_due = True
    for caller in callers:
        caller.join(SECONDS + 12)
    record.line("members answered %s requests, callers sent %s" % ([m.answers for m in members], counts))
    if sum(counts.values()) < RATE * SECONDS / 8:
        raise CannotRun("the machine was too slow")
    return breaks


play(os.path.join(FOLDER, "record.txt"), case)

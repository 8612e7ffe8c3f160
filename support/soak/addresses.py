"""Loopback addresses of one run; runs with other bases can play beside it."""

base = 0  # part of the address that --net sets


def host(part, group, number):
    return f"127.{base + part}.{group}.{number}"


def instance(number):  # as the list names it: a proxy stands there
    return host(1, 0, number)


def behind_proxy(number):
    return host(1, 1, number)


def entry(number):
    return host(2, 0, number)


def store():
    return host(3, 0, 1)


def origin():
    return host(3, 0, 2)


def entry_store(number):  # a proxy of its own before the store
    return host(4, 0, number)


def agent_store(number):
    return host(4, 1, number)


def entry_at_entry(number, by):  # as another entry knows it: a proxy stands there
    return host(5, by, number)


def entry_at_agent(number, by):  # as an agent knows it: a proxy stands there
    return host(6, by, number)

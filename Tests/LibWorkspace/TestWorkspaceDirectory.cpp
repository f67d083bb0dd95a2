#include <LibWorkspace/WorkspaceDirectory.h>

#include <doctest/doctest.h>

using namespace Dogwoodkeel;

namespace
{

Workspace workspace(const char *name)
{
    return {WorkspaceName(name), 1, {10, 5}};
}

} // namespace

TEST_CASE("each key of a workspace finds it, and no other key does")
{
    WorkspaceDirectory directory;
    CHECK(directory.add(workspace("a"), {KeyDigest::of("a1"), KeyDigest::of("a2")}) == 0);
    CHECK(directory.add(workspace("b"), {KeyDigest::of("b1")}) == 0);
    CHECK(directory.findByKey(KeyDigest::of("a1"))->name == WorkspaceName("a"));
    CHECK(directory.findByKey(KeyDigest::of("a2"))->name == WorkspaceName("a"));
    CHECK(directory.findByKey(KeyDigest::of("b1"))->name == WorkspaceName("b"));
    CHECK(directory.findByKey(KeyDigest::of("c1")) == nullptr);
}

TEST_CASE("a workspace without keys is found by its name")
{
    WorkspaceDirectory directory;
    directory.add(workspace("a"), {});
    CHECK(directory.find(WorkspaceName("a"))->quota == RequestQuota{10, 5});
    CHECK(directory.find(WorkspaceName("b")) == nullptr);
    CHECK(directory.size() == 1);
}

// Guards against attributing a caller to the workspace that comes last in a faulty configuration.
TEST_CASE("a key listed by two workspaces stays with the first")
{
    WorkspaceDirectory directory;
    directory.add(workspace("a"), {KeyDigest::of("k")});
    CHECK(directory.add(workspace("b"), {KeyDigest::of("k"), KeyDigest::of("b1")}) == 1);
    CHECK(directory.findByKey(KeyDigest::of("k"))->name == WorkspaceName("a"));
    CHECK(directory.findByKey(KeyDigest::of("b1"))->name == WorkspaceName("b"));
}
